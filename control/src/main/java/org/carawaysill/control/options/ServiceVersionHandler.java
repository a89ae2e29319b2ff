package org.carawaysill.control.options;

import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.OptionDef;
import org.kohsuke.args4j.spi.OneArgumentOptionHandler;
import org.kohsuke.args4j.spi.Setter;

/** Parses the service and version of an option. Not thread safe: one parser uses it. */
public final class ServiceVersionHandler extends OneArgumentOptionHandler<ServiceVersion> {

    /**
     * Creates a handler; called by the parser.
     *
     * @param parser the parser
     * @param option the option
     * @param setter receives the service and version
     */
    public ServiceVersionHandler(CmdLineParser parser, OptionDef option, Setter<? super ServiceVersion> setter) {
        super(parser, option, setter);
    }

    @Override
    protected ServiceVersion parse(String text) throws CmdLineException {
        try {
            return ServiceVersion.parse(text);
        } catch (IllegalArgumentException e) {
            throw new CmdLineException(owner, option + ": " + e.getMessage(), e);
        }
    }
}
