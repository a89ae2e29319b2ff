package org.carawaysill.load.command;

import java.io.StringWriter;
import java.util.List;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.OptionHandlerFilter;
import org.kohsuke.args4j.ParserProperties;

/** Parses the command line. Stateless and thread safe. */
public final class CommandLine {

    private static final String PROGRAM = "carawaysill-load";
    private static final int USAGE_WIDTH = 100;

    private CommandLine() {}

    /**
     * Parses the sub-command and its flags.
     *
     * @param arguments the words of the command line
     * @return the sub-command
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
     * Returns the help of the whole program.
     *
     * @return some lines
     */
    public static String help() {
        return """
                Usage: %1$s SUBCOMMAND [FLAGS]

                  layout   write the settings of a site's processes on loopback, and the list of them
                  await    wait until every process of a site serves
                  run      play one scenario against a running site and write a report
                  table    put the reports of two policies side by side
                  latency  measure the latency that nodes in the path add

                  fleet-layout  write the settings of a fleet on loopback, and the list of its processes
                  fleet-watch   publish at a running fleet, and measure what its control work costs

                %1$s SUBCOMMAND --help tells the flags.
                """.formatted(PROGRAM);
    }

    /**
     * Returns the help of a sub-command.
     *
     * @param name the sub-command's name
     * @param subcommand the sub-command
     * @return some lines
     */
    public static String help(String name, Subcommand subcommand) {
        StringWriter lines = new StringWriter();
        parser(subcommand).printUsage(lines, null, OptionHandlerFilter.ALL);
        return "Usage: " + PROGRAM + " " + name + " FLAGS\n\n" + lines;
    }

    private static Subcommand subcommand(String name) {
        return switch (name) {
            case "layout" -> new LayoutCommand();
            case "await" -> new AwaitCommand();
            case "run" -> new RunCommand();
            case "table" -> new TableCommand();
            case "latency" -> new LatencyCommand();
            case "fleet-layout" -> new FleetLayoutCommand();
            case "fleet-watch" -> new FleetWatchCommand();
            default -> throw new UsageException("\"" + name + "\" is not a sub-command; see " + PROGRAM + " --help");
        };
    }

    private static CmdLineParser parser(Subcommand subcommand) {
        return new CmdLineParser(
                subcommand, ParserProperties.defaults().withAtSyntax(false).withUsageWidth(USAGE_WIDTH));
    }
}
