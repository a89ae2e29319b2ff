package org.carawaysill.control;

import java.io.PrintStream;
import java.util.Arrays;
import java.util.Optional;
import org.carawaysill.control.document.DocumentCheck;
import org.carawaysill.control.document.RequestReport;
import org.carawaysill.control.fleet.FleetDrain;
import org.carawaysill.control.fleet.FleetStatus;
import org.carawaysill.control.options.CheckOptions;
import org.carawaysill.control.options.CommandOptions;
import org.carawaysill.control.options.DrainOptions;
import org.carawaysill.control.options.ExplainOptions;
import org.carawaysill.control.options.StatusOptions;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.ParserProperties;

/**
 * Parses a command line and runs the command.
 *
 * <p>Results go to the output. Errors go to the error stream, one line each. Not thread safe.
 */
final class ControlProgram {

    private static final String NAME = "carawaysill-control";
    private static final String USAGE =
            "usage: " + NAME + " check|explain|status|drain [options]; " + NAME + " COMMAND --help tells more";
    private static final int USAGE_WIDTH = 110;

    private final PrintStream output;
    private final PrintStream errors;

    ControlProgram(PrintStream output, PrintStream errors) {
        this.output = output;
        this.errors = errors;
    }

    ExitStatus run(String... arguments) {
        String command = arguments.length == 0 ? "" : arguments[0];
        if (command.equals("--help")) {
            output.println(USAGE);
            return ExitStatus.DONE;
        }
        Optional<CommandOptions> options = options(command);
        if (options.isEmpty()) {
            errors.println(command.isEmpty() ? USAGE : NAME + ": unknown command " + command + "; " + USAGE);
            return ExitStatus.WRONG_INPUT;
        }
        return run(options.get(), Arrays.copyOfRange(arguments, 1, arguments.length));
    }

    private static Optional<CommandOptions> options(String command) {
        return switch (command) {
            case CheckOptions.COMMAND -> Optional.of(new CheckOptions());
            case ExplainOptions.COMMAND -> Optional.of(new ExplainOptions());
            case StatusOptions.COMMAND -> Optional.of(new StatusOptions());
            case DrainOptions.COMMAND -> Optional.of(new DrainOptions());
            default -> Optional.empty();
        };
    }

    private ExitStatus run(CommandOptions options, String[] arguments) {
        CmdLineParser parser = new CmdLineParser(
                options,
                ParserProperties.defaults()
                        .withUsageWidth(USAGE_WIDTH)
                        .withOptionSorter(null)
                        .withShowDefaults(false));
        try {
            parser.parseArgument(arguments);
        } catch (CmdLineException e) {
            errors.println(NAME + " " + options.command() + ": " + oneLine(e) + "; --help lists the options");
            return ExitStatus.WRONG_INPUT;
        }
        if (options.helpWanted()) {
            output.print("usage: " + NAME + " " + options.command());
            parser.printSingleLineUsage(output);
            output.println();
            output.println(options.purpose());
            parser.printUsage(output);
            return ExitStatus.DONE;
        }
        return execute(options);
    }

    private ExitStatus execute(CommandOptions options) {
        return switch (options) {
            case CheckOptions check -> new DocumentCheck(output, errors).run(check);
            case ExplainOptions explain -> new RequestReport(output, errors).run(explain);
            case StatusOptions status -> new FleetStatus(output, errors).run(status);
            case DrainOptions drain -> new FleetDrain(output, errors).run(drain);
        };
    }

    private static String oneLine(CmdLineException failure) {
        return String.valueOf(failure.getMessage()).replace('\n', ' ').strip();
    }
}
