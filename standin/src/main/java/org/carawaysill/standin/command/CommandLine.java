package org.carawaysill.standin.command;

import java.io.StringWriter;
import java.util.List;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.OptionHandlerFilter;
import org.kohsuke.args4j.ParserProperties;

/** Parses the command line. No state; thread safe. */
public final class CommandLine {

    private static final String PROGRAM = "carawaysill-standin";
    private static final int USAGE_WIDTH = 100;

    private CommandLine() {}

    /**
     * Parses the sub-command and its flags.
     *
     * @param arguments the words of the command line
     * @return the sub-command; if it asks for help, its other fields may be unset
     * @throws UsageException if they can't be used
     */
    public static Subcommand parse(List<String> arguments) {
        if (arguments.isEmpty()) {
            throw new UsageException("a sub-command is missing; see " + PROGRAM + " --help");
        }
        Subcommand subcommand = subcommand(arguments.getFirst());
        try {
            parser(subcommand).parseArgument(arguments.subList(1, arguments.size()));
            return subcommand;
        } catch (CmdLineException e) {
            throw new UsageException(e.getMessage() + "; see " + PROGRAM + " " + arguments.getFirst() + " --help");
        }
    }

    /**
     * Returns whether the help of the whole program is requested.
     *
     * @param arguments the words of the command line
     * @return whether the first is {@code --help}
     */
    public static boolean asksForHelp(List<String> arguments) {
        return !arguments.isEmpty() && arguments.getFirst().equals("--help");
    }

    /**
     * Returns the help of the whole program.
     *
     * @return some lines
     */
    public static String help() {
        return """
                Usage: %1$s SUBCOMMAND [FLAGS]

                Stands in for the platform and for upstream copies, on a bench.

                  configuration  the configuration service: reads, watches, versions, counts, faults
                  vm-list        the list of VMs, which lags
                  upstream       one upstream copy, with slots and a run log

                %1$s SUBCOMMAND --help tells the flags.
                """.formatted(PROGRAM);
    }

    /**
     * Returns the help of a sub-command.
     *
     * @param subcommand the sub-command
     * @return some lines
     */
    public static String help(Subcommand subcommand) {
        StringWriter lines = new StringWriter();
        String name = name(subcommand);
        parser(subcommand(name)).printUsage(lines, null, OptionHandlerFilter.ALL);
        return "Usage: " + PROGRAM + " " + name + " FLAGS\n\n" + lines;
    }

    private static Subcommand subcommand(String name) {
        return switch (name) {
            case "configuration" -> new ConfigurationCommand();
            case "vm-list" -> new VmListCommand();
            case "upstream" -> new UpstreamCommand();
            default -> throw new UsageException("\"" + name + "\" is not a sub-command; see " + PROGRAM + " --help");
        };
    }

    private static String name(Subcommand subcommand) {
        return switch (subcommand) {
            case ConfigurationCommand command -> "configuration";
            case VmListCommand command -> "vm-list";
            case UpstreamCommand command -> "upstream";
        };
    }

    private static CmdLineParser parser(Subcommand subcommand) {
        return new CmdLineParser(
                subcommand, ParserProperties.defaults().withAtSyntax(false).withUsageWidth(USAGE_WIDTH));
    }
}
