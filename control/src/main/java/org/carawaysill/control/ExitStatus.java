package org.carawaysill.control;

/** What the program ends with. Immutable and thread safe. */
public enum ExitStatus {
    /** All is well. */
    DONE(0),
    /** The command ran, and what it looked at is not as it should be. */
    NOT_SO(1),
    /** The command line, a file or an address is wrong. */
    WRONG_INPUT(2);

    private final int code;

    ExitStatus(int code) {
        this.code = code;
    }

    /**
     * Gives the code for the shell.
     *
     * @return the process's exit code
     */
    public int code() {
        return code;
    }
}
