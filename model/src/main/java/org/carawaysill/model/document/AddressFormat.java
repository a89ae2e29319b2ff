package org.carawaysill.model.document;

import java.net.InetAddress;
import java.util.regex.Pattern;
import org.carawaysill.model.identity.NetworkAddress;

/**
 * The format of an IP address and a port, such as {@code 127.0.0.1:21002} or {@code [::1]:21002}. Immutable and thread
 * safe.
 *
 * <p>Host names are rejected, since the programs resolve no names.
 *
 * @param use the purpose of the address, which determines the allowed values
 */
public record AddressFormat(Use use) implements TextFormat<NetworkAddress> {

    private static final Pattern DOTTED_DECIMAL = Pattern.compile("[0-9]{1,3}(\\.[0-9]{1,3}){3}");
    private static final String EXPECTED = "expected an IP number and a port, such as \"127.0.0.1:21002\"";

    /** The purpose of an address. */
    public enum Use {
        /** For listening: any local address, and port 0 for any free port. */
        LISTEN,
        /** For connecting: neither the unspecified address nor port 0. */
        CONNECT
    }

    @Override
    public NetworkAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 0) {
            throw new IllegalArgumentException(EXPECTED + ", found \"" + text + '"');
        }
        return new NetworkAddress(host(text.substring(0, colon), text), port(text.substring(colon + 1), text));
    }

    private String host(String written, String text) {
        boolean bracketed = written.startsWith("[") && written.endsWith("]");
        String host = bracketed ? written.substring(1, written.length() - 1) : written;
        boolean plausible =
                bracketed ? host.contains(":") : DOTTED_DECIMAL.matcher(host).matches();
        InetAddress address = plausible ? literal(host, text) : null;
        if (address == null) {
            throw new IllegalArgumentException(EXPECTED + ", found \"" + text + '"');
        }
        if (use == Use.CONNECT && address.isAnyLocalAddress()) {
            throw new IllegalArgumentException("cannot connect to an unspecified address: \"" + text + '"');
        }
        return host;
    }

    private static InetAddress literal(String host, String text) {
        try {
            return InetAddress.ofLiteral(host);
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException(EXPECTED + ", found \"" + text + '"', e);
        }
    }

    private int port(String written, String text) {
        int minimum = use == Use.LISTEN ? 0 : 1;
        try {
            int port = Integer.parseInt(written);
            if (port >= minimum && port <= NetworkAddress.MAXIMUM_PORT) {
                return port;
            }
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException(EXPECTED + ", found \"" + text + '"', e);
        }
        throw new IllegalArgumentException(
                "expected a port from " + minimum + " to " + NetworkAddress.MAXIMUM_PORT + ", found \"" + text + '"');
    }
}
