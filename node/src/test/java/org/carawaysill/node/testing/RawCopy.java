package org.carawaysill.node.testing;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import org.carawaysill.model.identity.NetworkAddress;

/** A local copy whose every byte is controlled by the test. Not thread safe. */
public final class RawCopy implements AutoCloseable {

    private static final int TIMEOUT_MILLIS = 30_000;

    private static final int BACKLOG = 50;

    private final ServerSocket server;

    public RawCopy() {
        try {
            server = new ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"));
            server.setSoTimeout(TIMEOUT_MILLIS);
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    public NetworkAddress address() {
        return new NetworkAddress("127.0.0.1", server.getLocalPort());
    }

    public RawConnection accept() {
        try {
            return new RawConnection(server.accept());
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    @Override
    public void close() {
        try {
            server.close();
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }
}
