package org.carawaysill.load.run;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.io.PrintStream;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.carawaysill.load.audit.Audit;
import org.carawaysill.load.audit.NodeCounters;
import org.carawaysill.load.client.Clients;
import org.carawaysill.load.client.RequestRecord;
import org.carawaysill.load.platform.BenchHttp;
import org.carawaysill.load.platform.Faults;
import org.carawaysill.load.platform.Readiness;
import org.carawaysill.load.platform.RunLogs;
import org.carawaysill.load.scenario.Window;
import org.carawaysill.load.schedule.Arrival;
import org.carawaysill.load.site.CallGraph;
import org.carawaysill.load.site.SiteCopy.Port;

/**
 * Runs one scenario against a running site.
 *
 * <p>Not thread safe: used on one event loop.
 */
public final class LoadRun {

    private static final long NANOS_PER_MILLISECOND = 1_000_000;

    private final RunSettings settings;
    private final Vertx vertx;
    private final PrintStream out;
    private final BenchHttp http;
    private final Faults faults;

    /**
     * Creates a run.
     *
     * @param settings the settings of the run
     * @param vertx the event loop, of one thread
     * @param out the stream for progress lines
     */
    public LoadRun(RunSettings settings, Vertx vertx, PrintStream out) {
        this.settings = settings;
        this.vertx = vertx;
        this.out = out;
        this.http = new BenchHttp(vertx);
        this.faults = new Faults(http, settings.site());
    }

    /**
     * Waits until the site is ready, runs the scenario and collects the run logs of the copies.
     *
     * @return the outcome, or a {@link org.carawaysill.load.platform.BenchException}
     */
    public Future<RunOutcome> play() {
        return new Readiness(vertx, http)
                .await(settings.site(), settings.readyWithin())
                .compose(ignored -> configurationDown(true))
                .compose(ignored -> send())
                .compose(outcome -> configurationDown(false).map(outcome));
    }

    private Future<Void> configurationDown(boolean down) {
        return settings.scenario().configurationDown() ? faults.configurationDown(down) : Future.succeededFuture();
    }

    private Future<RunOutcome> send() {
        List<Arrival> arrivals = settings.schedule().draw();
        long start = System.nanoTime();
        Clients clients = new Clients(settings.clients(), vertx, settings.site(), start);
        Sender sender = new Sender(vertx, clients, arrivals, start);
        Progress progress = new Progress(settings, sender, start, out);
        progress.start(vertx);
        Future<Void> triggers = Future.all(settings.timeline().triggers().stream()
                        .map(this::trigger)
                        .toList())
                .mapEmpty();
        return Future.all(sender.run(), triggers)
                .compose(all -> audit(all.resultAt(0)))
                .map(audit -> new RunOutcome(settings, audit, progress.samples()));
    }

    private Future<Audit> audit(List<RequestRecord> records) {
        CallGraph graph = settings.site().graph();
        return new RunLogs(vertx, http, settings.site())
                .collect()
                .compose(log -> nodeCounters().map(counters -> new Audit(graph, records, log, counters)));
    }

    private Future<NodeCounters> nodeCounters() {
        List<Future<String>> metrics = settings.site().copies().stream()
                .map(copy -> http.text(copy.number(Port.ADMIN), "/metrics"))
                .toList();
        return Future.all(metrics)
                .map(all -> all.<String>list().stream()
                        .map(NodeCounters::parse)
                        .reduce(NodeCounters.none(), NodeCounters::plus));
    }

    private Future<Void> trigger(Window window) {
        Future<Void> started =
                at(window.startNanos(), () -> faults.start(settings.scenario().triggers()));
        Future<Void> ended =
                at(window.endNanos(), () -> faults.end(settings.scenario().triggers()));
        return Future.all(started, ended).mapEmpty();
    }

    private Future<Void> at(long nanos, Supplier<Future<Void>> action) {
        return vertx.timer(nanos / NANOS_PER_MILLISECOND, TimeUnit.MILLISECONDS).compose(ignored -> action.get());
    }
}
