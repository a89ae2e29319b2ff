package org.carawaysill.load.platform;

/** Signals that a process of the bench failed or gave no usable answer. Immutable and thread safe. */
public final class BenchException extends Exception {

    private static final long serialVersionUID = 1L;

    /**
     * Creates the error.
     *
     * @param port the process's port
     * @param path the requested path
     * @param message a description of the failure
     */
    public BenchException(int port, String path, String message) {
        super("port " + port + " " + path + ": " + message);
    }
}
