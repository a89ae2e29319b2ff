package org.carawaysill.model.identity;

/**
 * An IP number and a port.
 *
 * <p>Invariant: the port is 0 to {@link #MAXIMUM_PORT}; 0 means a free port, to listen at. Immutable and thread safe.
 *
 * @param host the IP number, without brackets
 * @param port the port
 */
public record NetworkAddress(String host, int port) {

    /** The greatest port. */
    public static final int MAXIMUM_PORT = 65_535;

    public NetworkAddress {
        if (port < 0 || port > MAXIMUM_PORT) {
            throw new IllegalArgumentException("port out of range: " + port);
        }
    }

    @Override
    public String toString() {
        return host.contains(":") ? '[' + host + "]:" + port : host + ':' + port;
    }
}
