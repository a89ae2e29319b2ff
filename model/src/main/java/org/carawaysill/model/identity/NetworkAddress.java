package org.carawaysill.model.identity;

/**
 * An IP address and a port.
 *
 * <p>Invariant: the port is 0 to {@link #MAXIMUM_PORT}; 0 stands for any free port, for listening. Immutable and thread
 * safe.
 *
 * @param host the IP address, without brackets
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
