package org.carawaysill.load.platform;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.List;
import java.util.stream.Stream;
import org.carawaysill.load.site.Site;
import org.carawaysill.load.site.SiteCopy;
import org.carawaysill.load.site.SiteCopy.Port;

/**
 * Waits until all processes of a site serve requests.
 *
 * <p>Not thread safe: used on one event loop.
 */
public final class Readiness {

    private static final Duration INTERVAL = Duration.ofMillis(100);

    private final Vertx vertx;
    private final BenchHttp http;

    /**
     * Creates the check.
     *
     * @param vertx the event loop
     * @param http the client for admin interfaces
     */
    public Readiness(Vertx vertx, BenchHttp http) {
        this.vertx = vertx;
        this.http = http;
    }

    /**
     * Waits until all processes serve.
     *
     * @param site the site
     * @param limit the maximum time to wait
     * @return nothing, or the {@link BenchException} of a process that does not serve within the limit
     */
    public Future<Void> await(Site site, Duration limit) {
        long deadline = System.nanoTime() + limit.toNanos();
        List<Future<Void>> waits =
                probes(site).map(probe -> until(probe, deadline)).toList();
        return Future.all(waits).mapEmpty();
    }

    private Stream<Probe> probes(Site site) {
        Stream<Probe> platform =
                Stream.of(new Probe(Site.CONFIGURATION_PORT, "/counts"), new Probe(Site.VM_LIST_PORT, "/vms"));
        return Stream.concat(platform, site.copies().stream().flatMap(Readiness::probes));
    }

    private static Stream<Probe> probes(SiteCopy copy) {
        return Stream.of(new Probe(copy.number(Port.COPY), "/health"), new Probe(copy.number(Port.ADMIN), "/healthz"));
    }

    private Future<Void> until(Probe probe, long deadline) {
        return http.probe(probe.port(), probe.path())
                .recover(cause -> System.nanoTime() < deadline
                        ? pause().compose(ignored -> until(probe, deadline))
                        : Future.failedFuture(new BenchException(
                                probe.port(), probe.path(), "does not serve: " + cause.getMessage())));
    }

    private Future<Void> pause() {
        Promise<Void> pause = Promise.promise();
        vertx.setTimer(INTERVAL.toMillis(), ignored -> pause.complete());
        return pause.future();
    }

    /** The port and path of a readiness check. Immutable and thread safe. */
    private record Probe(int port, String path) {}
}
