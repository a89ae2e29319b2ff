package org.carawaysill.load.latency;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.util.List;
import java.util.SplittableRandom;
import org.HdrHistogram.Histogram;
import org.carawaysill.load.client.RequestIdentity;
import org.carawaysill.load.report.Latency;

/**
 * Sends requests along both paths in turn and measures their latencies from the intended sending times.
 *
 * <p>Not thread safe: used on one event loop.
 */
public final class LatencyMeasurement {

    private static final int CONNECTIONS = 512;
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final int OK = 200;
    private static final long NANOS_PER_MICROSECOND = 1000;
    private static final long START_DELAY_NANOS = 100_000_000;

    private final LatencySettings settings;
    private final Vertx vertx;
    private final HttpClient http;
    private final SplittableRandom random;
    private final Histogram direct = new Histogram(SIGNIFICANT_DIGITS);
    private final Histogram through = new Histogram(SIGNIFICANT_DIGITS);
    private final Promise<LatencyReport> done = Promise.promise();
    private long startNanos;
    private int outstanding;
    private int failures;

    /**
     * Creates a measurement.
     *
     * @param settings the settings of the measurement
     * @param vertx the event loop, of one thread
     */
    public LatencyMeasurement(LatencySettings settings, Vertx vertx) {
        this.settings = settings;
        this.vertx = vertx;
        this.random = new SplittableRandom(settings.seed());
        this.http = vertx.createHttpClient(
                new HttpClientOptions().setTcpNoDelay(true), new PoolOptions().setHttp1MaxSize(CONNECTIONS));
    }

    /**
     * Runs the measurement.
     *
     * @return the report; never fails, since failed requests are counted
     */
    public Future<LatencyReport> run() {
        List<ScheduledRequest> requests = ScheduledRequest.draw(settings);
        outstanding = requests.size();
        startNanos = System.nanoTime() + START_DELAY_NANOS;
        new Pacer(vertx.getOrCreateContext(), this::send).start(requests, startNanos);
        return done.future();
    }

    private void send(ScheduledRequest scheduled) {
        http.request(options(scheduled.through() ? settings.through() : settings.direct()))
                .compose(request -> request.send())
                .compose(LatencyMeasurement::completeBody)
                .onComplete(body -> finished(scheduled, body.succeeded()));
    }

    private RequestOptions options(LatencyPath path) {
        RequestIdentity identity = RequestIdentity.mint(System.currentTimeMillis(), random);
        return new RequestOptions()
                .setMethod(HttpMethod.GET)
                .setHost(path.host())
                .setPort(path.port())
                .setURI(path.path())
                .putHeader("Idempotency-Key", identity.idempotencyKey())
                .putHeader("traceparent", identity.traceParent());
    }

    private static Future<Buffer> completeBody(HttpClientResponse response) {
        return response.statusCode() == OK ? response.body() : Future.failedFuture("answered " + response.statusCode());
    }

    private void finished(ScheduledRequest scheduled, boolean succeeded) {
        if (!succeeded) {
            failures++;
        } else if (scheduled.counts()) {
            long nanos = System.nanoTime() - startNanos - scheduled.atNanos();
            (scheduled.through() ? through : direct).recordValue(nanos / NANOS_PER_MICROSECOND);
        }
        outstanding--;
        if (outstanding == 0) {
            done.complete(
                    LatencyReport.of(settings.ratePerSecond(), Latency.of(direct), Latency.of(through), failures));
        }
    }
}
