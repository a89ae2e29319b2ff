package org.carawaysill.load.command;

/** The command line can't be used; the message is one line. Immutable and thread safe. */
public final class UsageException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates the error.
     *
     * @param message what is wrong
     */
    public UsageException(String message) {
        super(message);
    }
}
