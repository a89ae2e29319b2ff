package org.carawaysill.load.platform;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.carawaysill.load.audit.RunLog;
import org.carawaysill.load.site.Hop;
import org.carawaysill.load.site.Site;
import org.carawaysill.load.site.SiteCopy;
import org.carawaysill.load.site.SiteCopy.Port;

/**
 * Collects the run logs of the upstream stand-ins.
 *
 * <p>Not thread safe: used on one event loop.
 */
public final class RunLogs {

    private static final Duration INTERVAL = Duration.ofMillis(200);
    private static final int MAXIMUM_WAITS = 25;

    private final Vertx vertx;
    private final BenchHttp http;
    private final Site site;

    /**
     * Creates the collector.
     *
     * @param vertx the event loop
     * @param http the client for admin interfaces
     * @param site the site
     */
    public RunLogs(Vertx vertx, BenchHttp http, Site site) {
        this.vertx = vertx;
        this.http = http;
        this.site = site;
    }

    /**
     * Reads the logs of all copies once no requests are running, or after five seconds at the latest.
     *
     * @return the runs of all copies, or a {@link BenchException}
     */
    public Future<RunLog> collect() {
        return idle(MAXIMUM_WAITS).compose(ignored -> read());
    }

    // A refused request that still waits somewhere could run after its client has disconnected; a log that is read
    // immediately would not contain that run.
    private Future<Void> idle(int waits) {
        List<Future<Boolean>> copies = site.copies().stream().map(this::idle).toList();
        return pause().compose(ignored -> Future.all(copies))
                .compose(all ->
                        all.<Boolean>list().contains(false) && waits > 0 ? idle(waits - 1) : Future.succeededFuture());
    }

    private Future<Boolean> idle(SiteCopy copy) {
        return http.read(copy.number(Port.COPY), "/runs")
                .map(runs -> runs.getLong("started")
                        <= runs.getLong("completed") + runs.getLong("failed") + runs.getLong("cancelled"));
    }

    private Future<Void> pause() {
        return vertx.timer(INTERVAL.toMillis(), TimeUnit.MILLISECONDS).mapEmpty();
    }

    private Future<RunLog> read() {
        RunLog log = new RunLog();
        List<Future<Void>> reads =
                site.copies().stream().map(copy -> read(copy, log)).toList();
        return Future.all(reads).map(log);
    }

    private Future<Void> read(SiteCopy copy, RunLog log) {
        return http.read(copy.number(Port.COPY), "/runs?full=true")
                .onSuccess(document -> document.getJsonArray("runsByTrace").stream()
                        .map(JsonObject.class::cast)
                        .forEach(entry -> add(copy, entry, log)))
                .mapEmpty();
    }

    private static void add(SiteCopy copy, JsonObject entry, RunLog log) {
        Hop hop = new Hop(copy.service().name(), entry.getString("operation"));
        log.add(entry.getString("trace"), hop, entry.getInteger("runs"));
    }
}
