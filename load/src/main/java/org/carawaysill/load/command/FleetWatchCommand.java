package org.carawaysill.load.command;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.time.Duration;
import org.carawaysill.load.fleet.FleetPlan;
import org.carawaysill.load.fleet.FleetReport;
import org.carawaysill.load.fleet.FleetTable;
import org.carawaysill.load.fleet.FleetWatch;
import org.carawaysill.load.fleet.FleetWatchSettings;
import org.carawaysill.load.platform.BenchException;
import org.carawaysill.load.platform.BenchHttp;
import org.carawaysill.load.report.ReportFiles;
import org.jspecify.annotations.NullUnmarked;
import org.kohsuke.args4j.Option;

/** The sub-command {@code fleet-watch}. Not thread safe. */
@NullUnmarked
public final class FleetWatchCommand implements Subcommand {

    @Option(name = "--nodes", required = true, metaVar = "N", usage = "how many nodes")
    private int nodes;

    @Option(name = "--service-nodes", metaVar = "N", usage = "how many of them a service has at most")
    private int serviceNodes = FleetOptions.SERVICE_NODES;

    @Option(name = "--settling-seconds", metaVar = "N", usage = "how long to wait once all nodes are ready")
    private int settlingSeconds = 15;

    @Option(name = "--seconds", metaVar = "N", usage = "length of the three phases together")
    private int seconds = 90;

    @Option(name = "--interval-milliseconds", metaVar = "N", usage = "from one publication to the next")
    private int intervalMilliseconds = 500;

    @Option(name = "--report", metaVar = "FILE", usage = "where to write the figures, as JSON")
    private Path report;

    @Option(name = "--help", help = true, usage = "print this help")
    private boolean help;

    @Override
    public boolean help() {
        return help;
    }

    @Override
    public void run(PrintStream out) throws IOException, BenchException {
        FleetPlan plan = FleetOptions.plan(nodes, serviceNodes);
        FleetWatchSettings settings = settings();
        FleetReport result = EventLoop.beside(vertx -> new FleetWatch(plan, settings, new BenchHttp(vertx), out).run());
        out.print(FleetTable.of(result));
        if (report != null) {
            ReportFiles.write(report, result);
        }
    }

    private FleetWatchSettings settings() {
        try {
            return new FleetWatchSettings(
                    Duration.ofSeconds(settlingSeconds),
                    Duration.ofSeconds(seconds),
                    Duration.ofMillis(intervalMilliseconds));
        } catch (IllegalArgumentException e) {
            throw new UsageException(e.getMessage());
        }
    }
}
