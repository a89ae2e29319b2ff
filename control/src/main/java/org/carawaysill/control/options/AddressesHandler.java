package org.carawaysill.control.options;

import org.carawaysill.model.document.AddressFormat;
import org.carawaysill.model.identity.NetworkAddress;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.OptionDef;
import org.kohsuke.args4j.spi.OptionHandler;
import org.kohsuke.args4j.spi.Parameters;
import org.kohsuke.args4j.spi.Setter;

/** Parses the addresses of an option: one or more, up to the next option. Not thread safe: one parser uses it. */
public final class AddressesHandler extends OptionHandler<NetworkAddress> {

    private static final AddressFormat FORMAT = new AddressFormat(AddressFormat.Use.CONNECT);
    private static final String OPTION_PREFIX = "-";

    /**
     * Creates a handler; called by the parser.
     *
     * @param parser the parser
     * @param option the option
     * @param setter receives each address
     */
    public AddressesHandler(CmdLineParser parser, OptionDef option, Setter<? super NetworkAddress> setter) {
        super(parser, option, setter);
    }

    @Override
    public int parseArguments(Parameters parameters) throws CmdLineException {
        int taken = 0;
        while (taken < parameters.size() && !parameters.getParameter(taken).startsWith(OPTION_PREFIX)) {
            setter.addValue(address(parameters.getParameter(taken)));
            taken++;
        }
        if (taken == 0) {
            throw new CmdLineException(owner, option + " needs at least one address, such as 127.0.0.1:21003", null);
        }
        return taken;
    }

    private NetworkAddress address(String text) throws CmdLineException {
        try {
            return FORMAT.parse(text);
        } catch (IllegalArgumentException e) {
            throw new CmdLineException(owner, option + ": " + e.getMessage(), e);
        }
    }

    @Override
    public String getDefaultMetaVariable() {
        return "HOST:PORT ...";
    }
}
