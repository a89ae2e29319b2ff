package org.carawaysill.load.command;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.carawaysill.load.client.ClientSettings;
import org.carawaysill.load.platform.BenchException;
import org.carawaysill.load.plot.GoodputPlot;
import org.carawaysill.load.report.ReportBuilder;
import org.carawaysill.load.report.ReportFiles;
import org.carawaysill.load.report.RunReport;
import org.carawaysill.load.run.LoadRun;
import org.carawaysill.load.run.RunOutcome;
import org.carawaysill.load.run.RunSettings;
import org.carawaysill.load.scenario.Scenario;
import org.carawaysill.load.site.SiteException;
import org.carawaysill.load.site.SiteReader;
import org.jspecify.annotations.NullUnmarked;
import org.kohsuke.args4j.Option;

/** The sub-command {@code run}. Not thread safe. */
@NullUnmarked
public final class RunCommand implements Subcommand {

    private static final int SHORTEST_SECONDS = 10;

    @Option(name = "--site", metaVar = "NAME", usage = "the site, whose processes run already")
    private String site = "trinacria";

    @Option(name = "--sites", metaVar = "DIRECTORY", usage = "where the directories of the sites are")
    private Path sites = Path.of("sites");

    @Option(name = "--policy", metaVar = "NAME", usage = "what the nodes run, for the report")
    private String policy = "carawaysill";

    @Option(
            name = "--scenario",
            metaVar = "NAME",
            usage = "what to play: surge, slow, both, kill, zones, configuration-down or twice")
    private String scenario = "both";

    @Option(name = "--seed", metaVar = "N", usage = "the seed of all draws")
    private long seed = 1;

    @Option(name = "--seconds", metaVar = "N", usage = "how long to send, at least 10")
    private int seconds = 24;

    @Option(name = "--tries", metaVar = "N", usage = "how often a client sends one request at most")
    private int tries = ClientSettings.impatient().tries();

    @Option(
            name = "--retry-after-share",
            metaVar = "SHARE",
            usage = "the share of clients that wait as long as a refusal asks, from 0 to 1")
    private double retryAfterShare;

    @Option(name = "--ready-seconds", metaVar = "N", usage = "how long to wait for the processes to serve")
    private int readySeconds = 30;

    @Option(name = "--report", required = true, metaVar = "FILE", usage = "where to write the report, as JSON")
    private Path report;

    @Option(name = "--plot", metaVar = "FILE", usage = "where to draw goodput over time, as SVG")
    private Path plot;

    @Option(name = "--help", help = true, usage = "print this help")
    private boolean help;

    @Override
    public boolean help() {
        return help;
    }

    @Override
    public void run(PrintStream out) throws SiteException, IOException, BenchException {
        RunSettings settings = settings();
        RunOutcome outcome = EventLoop.run(vertx -> new LoadRun(settings, vertx, out).play());
        RunReport result = new ReportBuilder(outcome).build();
        ReportFiles.write(report, result);
        if (plot != null) {
            Files.writeString(plot, new GoodputPlot(List.of(result)).svg());
        }
    }

    private RunSettings settings() throws SiteException {
        Scenario played = Scenario.named(scenario)
                .orElseThrow(() ->
                        new UsageException("\"" + scenario + "\" is not a scenario; there are " + Scenario.names()));
        require(seconds >= SHORTEST_SECONDS, "--seconds must be at least " + SHORTEST_SECONDS);
        require(tries >= 1, "--tries must be at least 1");
        require(retryAfterShare >= 0 && retryAfterShare <= 1, "--retry-after-share must be from 0 to 1");
        return new RunSettings(
                policy,
                SiteReader.read(sites, site),
                played,
                seed,
                seconds,
                ClientSettings.impatient().withTries(tries).withRetryAfterShare(retryAfterShare),
                Duration.ofSeconds(readySeconds));
    }

    private static void require(boolean condition, String message) {
        if (!condition) {
            throw new UsageException(message);
        }
    }
}
