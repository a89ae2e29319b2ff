package org.carawaysill.load.latency;

/**
 * The target of the requests of one path.
 *
 * <p>Invariant: the port is a TCP port, the path starts with a slash. Immutable and thread safe.
 *
 * @param host the host
 * @param port the port
 * @param path the HTTP path
 */
public record LatencyPath(String host, int port, String path) {

    private static final int MAXIMUM_PORT = 65535;

    public LatencyPath {
        if (port < 1 || port > MAXIMUM_PORT || !path.startsWith("/")) {
            throw new IllegalArgumentException("a path needs a port from 1 to 65535 and a leading slash");
        }
    }

    /**
     * Parses a path.
     *
     * @param text host, port and path, such as {@code 127.0.0.1:21004/items/1}
     * @return the path
     * @throws IllegalArgumentException if it is not of this form; the message is one line
     */
    public static LatencyPath parse(String text) {
        int colon = text.indexOf(':');
        int slash = text.indexOf('/');
        if (colon < 1 || slash < colon) {
            throw new IllegalArgumentException("\"" + text + "\" is not of the form HOST:PORT/PATH");
        }
        try {
            int port = Integer.parseInt(text.substring(colon + 1, slash));
            return new LatencyPath(text.substring(0, colon), port, text.substring(slash));
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("\"" + text + "\" has no port number", e);
        }
    }
}
