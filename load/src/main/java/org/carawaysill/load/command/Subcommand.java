package org.carawaysill.load.command;

import java.io.PrintStream;

/**
 * What the program is asked to do. args4j fills in the fields of the implementations, which are read once, when the
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
     * Tells whether only the help is wanted.
     *
     * @return whether the flag {@code --help} was given
     */
    boolean help();

    /**
     * Does it.
     *
     * @param out where progress and tables go
     * @throws Exception if it can't be done; a {@link UsageException} or
     *     {@link org.carawaysill.load.site.SiteException} if the command line or a file that it names is at fault
     */
    void run(PrintStream out) throws Exception;
}
