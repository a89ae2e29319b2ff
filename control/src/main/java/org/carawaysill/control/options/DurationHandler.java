package org.carawaysill.control.options;

import java.time.Duration;
import org.carawaysill.model.document.DurationFormat;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.OptionDef;
import org.kohsuke.args4j.spi.OneArgumentOptionHandler;
import org.kohsuke.args4j.spi.Setter;

/** Parses the duration of an option, 100ms to 1h. Not thread safe: one parser uses it. */
public final class DurationHandler extends OneArgumentOptionHandler<Duration> {

    private static final DurationFormat FORMAT = new DurationFormat(Duration.ofMillis(100), Duration.ofHours(1));

    /**
     * Creates a handler; called by the parser.
     *
     * @param parser the parser
     * @param option the option
     * @param setter receives the duration
     */
    public DurationHandler(CmdLineParser parser, OptionDef option, Setter<? super Duration> setter) {
        super(parser, option, setter);
    }

    @Override
    protected Duration parse(String text) throws CmdLineException {
        try {
            return FORMAT.parse(text);
        } catch (IllegalArgumentException e) {
            throw new CmdLineException(owner, option + ": " + e.getMessage(), e);
        }
    }
}
