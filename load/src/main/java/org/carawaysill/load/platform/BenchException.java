package org.carawaysill.load.platform;

/** A process of the bench did not do what the bench needs. Immutable and thread safe. */
public final class BenchException extends Exception {

    private static final long serialVersionUID = 1L;

    /**
     * Creates the error.
     *
     * @param port the process's port
     * @param path the path that was asked for
     * @param message what happened
     */
    public BenchException(int port, String path, String message) {
        super("port " + port + " " + path + ": " + message);
    }
}
