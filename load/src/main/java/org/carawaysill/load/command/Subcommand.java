package org.carawaysill.load.command;

import java.io.PrintStream;

/**
 * A sub-command of the program. Args4j fills the fields of the implementations; they are read once, when the
 * sub-command runs.
 *
 * <p>Not thread safe: used by the main thread only.
 */
public sealed interface Subcommand
        permits LayoutCommand,
                AwaitCommand,
                RunCommand,
                TableCommand,
                LatencyCommand,
                FleetLayoutCommand,
                FleetWatchCommand {

    /**
     * Returns whether the help is requested.
     *
     * @return whether the flag {@code --help} was given
     */
    boolean help();

    /**
     * Runs the sub-command.
     *
     * @param out the stream for progress and tables
     * @throws Exception if it fails; a {@link UsageException} or
     *     {@link org.carawaysill.load.site.SiteException} if the command line or a file that it names is at fault
     */
    void run(PrintStream out) throws Exception;
}
