package org.carawaysill.control;

/** The exit status of the program. Immutable and thread safe. */
public enum ExitStatus {
    /** The command succeeded. */
    DONE(0),
    /** The command ran, but what it checked or ordered failed; for example, a node is behind or does not answer. */
    CHECK_FAILED(1),
    /** The command line, a file or an address is invalid. */
    WRONG_INPUT(2);

    private final int code;

    ExitStatus(int code) {
        this.code = code;
    }

    /**
     * Returns the exit code of the process.
     *
     * @return the exit code
     */
    public int code() {
        return code;
    }
}
