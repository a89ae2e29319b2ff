package org.carawaysill.standin.command;

import io.vertx.core.net.SocketAddress;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.OptionDef;
import org.kohsuke.args4j.spi.OneArgumentOptionHandler;
import org.kohsuke.args4j.spi.Setter;

/** Parses {@code HOST:PORT}. Not thread safe: used by the main thread only. */
public final class SocketAddressHandler extends OneArgumentOptionHandler<SocketAddress> {

    private static final int MAXIMUM_PORT = 65_535;

    /**
     * Creates a handler with the parameters that args4j requires.
     *
     * @param parser the parser
     * @param option the flag
     * @param setter the setter of the field
     */
    public SocketAddressHandler(CmdLineParser parser, OptionDef option, Setter<? super SocketAddress> setter) {
        super(parser, option, setter);
    }

    @Override
    protected SocketAddress parse(String argument) {
        int colon = argument.lastIndexOf(':');
        int port = colon < 1 ? -1 : port(argument.substring(colon + 1));
        if (port < 0 || port > MAXIMUM_PORT) {
            throw new UsageException("\"" + argument + "\" is not a valid value for \"" + option + "\": HOST:PORT");
        }
        return SocketAddress.inetSocketAddress(port, argument.substring(0, colon));
    }

    private static int port(String text) {
        try {
            return Integer.parseInt(text);
        } catch (NumberFormatException e) {
            return -1;
        }
    }
}
