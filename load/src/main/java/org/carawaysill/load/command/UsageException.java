package org.carawaysill.load.command;

/** Signals an invalid command line; the message is one line. Immutable and thread safe. */
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
