package org.carawaysill.load.command;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import org.carawaysill.load.latency.LatencyMeasurement;
import org.carawaysill.load.latency.LatencyPath;
import org.carawaysill.load.latency.LatencyReport;
import org.carawaysill.load.latency.LatencySettings;
import org.carawaysill.load.platform.BenchException;
import org.carawaysill.load.report.ReportFiles;
import org.jspecify.annotations.NullUnmarked;
import org.kohsuke.args4j.Option;

/** The sub-command {@code latency}. Not thread safe. */
@NullUnmarked
public final class LatencyCommand implements Subcommand {

    @Option(name = "--direct", required = true, metaVar = "HOST:PORT/PATH", usage = "a request to a copy")
    private String direct;

    @Option(
            name = "--through",
            required = true,
            metaVar = "HOST:PORT/PATH",
            usage = "the same request through nodes, such as by the egress port of another service's node")
    private String through;

    @Option(name = "--rate", metaVar = "N", usage = "requests a second")
    private double rate = 500;

    @Option(name = "--warm-up-seconds", metaVar = "N", usage = "how long to send before anything counts")
    private int warmUpSeconds = 5;

    @Option(name = "--seconds", metaVar = "N", usage = "how long to measure, both paths together")
    private int seconds = 20;

    @Option(name = "--seed", metaVar = "N", usage = "the seed of the arrivals")
    private long seed = 1;

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
        LatencySettings settings = settings();
        LatencyReport result = EventLoop.run(vertx -> new LatencyMeasurement(settings, vertx).run());
        out.println(result.text());
        if (report != null) {
            ReportFiles.write(report, result);
        }
    }

    private LatencySettings settings() {
        if (rate <= 0 || seconds < 1 || warmUpSeconds < 0) {
            throw new UsageException("--rate and --seconds must be positive, --warm-up-seconds not negative");
        }
        try {
            return new LatencySettings(
                    LatencyPath.parse(direct), LatencyPath.parse(through), rate, warmUpSeconds, seconds, seed);
        } catch (IllegalArgumentException e) {
            throw new UsageException(e.getMessage());
        }
    }
}
