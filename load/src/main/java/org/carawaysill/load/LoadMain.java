package org.carawaysill.load;

import java.io.IOException;
import java.io.PrintStream;
import java.util.List;
import org.carawaysill.load.command.CommandLine;
import org.carawaysill.load.command.Subcommand;
import org.carawaysill.load.command.UsageException;
import org.carawaysill.load.site.SiteException;

/** The program {@code carawaysill-load}. Stateless and thread safe. */
public final class LoadMain {

    private static final String PREFIX = "carawaysill-load: ";
    private static final int SUCCESS = 0;
    private static final int FAILURE = 1;
    private static final int USAGE = 2;

    private LoadMain() {}

    /**
     * Runs the program.
     *
     * @param arguments the sub-command and its flags
     */
    public static void main(String[] arguments) {
        System.exit(run(List.of(arguments), System.out, System.err));
    }

    /**
     * Runs the program.
     *
     * @param arguments the sub-command and its flags
     * @param out the stream for progress, tables and help
     * @param errors the stream for the one-line error message
     * @return the exit code: 0, 1 for a run that failed, 2 for a wrong command line or file
     */
    static int run(List<String> arguments, PrintStream out, PrintStream errors) {
        if (List.of("--help").equals(arguments)) {
            out.print(CommandLine.help());
            return SUCCESS;
        }
        try {
            Subcommand subcommand = CommandLine.parse(arguments);
            if (subcommand.help()) {
                out.print(CommandLine.help(arguments.getFirst(), subcommand));
            } else {
                subcommand.run(out);
            }
            return SUCCESS;
        } catch (UsageException | SiteException | IOException e) {
            errors.println(PREFIX + e.getMessage());
            return USAGE;
        } catch (Exception e) {
            errors.println(PREFIX + e.getMessage());
            return FAILURE;
        }
    }
}
