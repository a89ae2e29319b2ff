package org.carawaysill.load.command;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import org.carawaysill.load.fleet.FleetFiles;
import org.jspecify.annotations.NullUnmarked;
import org.kohsuke.args4j.Option;

/** The sub-command {@code fleet-layout}. Not thread safe. */
@NullUnmarked
public final class FleetLayoutCommand implements Subcommand {

    @Option(name = "--nodes", required = true, metaVar = "N", usage = "how many nodes")
    private int nodes;

    @Option(name = "--service-nodes", metaVar = "N", usage = "how many of them a service has at most")
    private int serviceNodes = FleetOptions.SERVICE_NODES;

    @Option(name = "--directory", required = true, metaVar = "DIRECTORY", usage = "where to write")
    private Path directory;

    @Option(name = "--help", help = true, usage = "print this help")
    private boolean help;

    @Override
    public boolean help() {
        return help;
    }

    @Override
    public void run(PrintStream out) throws IOException {
        out.println(FleetFiles.write(FleetOptions.plan(nodes, serviceNodes), directory));
    }
}
