package org.carawaysill.load.client;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.carawaysill.load.client.TryResult.NotRun;
import org.carawaysill.load.client.TryResult.Whole;
import org.carawaysill.load.schedule.Arrival;

/**
 * A client that sends one request to one node after the other until it has an answer or has used all its tries.
 *
 * <p>Invariant: at most one try is in flight, and none starts after a complete answer. Not thread safe: used on one
 * event loop.
 */
final class ImpatientClient {

    private final ClientSettings settings;
    private final Vertx vertx;
    private final HttpClient http;
    private final Arrival arrival;
    private final SplittableRandom random;
    private final RequestIdentity identity;
    private final List<Integer> ports;
    private final boolean honoursRetryAfter;
    private final List<TryResult> tries = new ArrayList<>();
    private final Promise<RequestRecord> done = Promise.promise();
    private final long startNanos;
    private long sentNanos;

    ImpatientClient(
            ClientSettings settings, Vertx vertx, HttpClient http, Arrival arrival, List<Integer> ports, long start) {
        this.settings = settings;
        this.vertx = vertx;
        this.http = http;
        this.arrival = arrival;
        this.random = new SplittableRandom(arrival.seed());
        this.identity = RequestIdentity.mint(System.currentTimeMillis(), random);
        this.ports = shuffled(ports, random);
        this.honoursRetryAfter = random.nextDouble() < settings.retryAfterShare();
        this.startNanos = start;
    }

    Future<RequestRecord> run() {
        sentNanos = now();
        next();
        return done.future();
    }

    private void next() {
        int port = ports.get(tries.size() % ports.size());
        HttpTry.send(vertx, http, port, arrival.operation(), identity, settings.tryTimeout())
                .onSuccess(this::tryEnded);
    }

    private void tryEnded(TryResult result) {
        tries.add(result);
        if (result instanceof Whole || tries.size() >= settings.tries()) {
            done.complete(new RequestRecord(arrival, identity.traceIdentifier(), sentNanos, tries, now()));
            return;
        }
        vertx.setTimer(pause(result).toMillis(), ignored -> next());
    }

    private long now() {
        return System.nanoTime() - startNanos;
    }

    private Duration pause(TryResult result) {
        long shortest = settings.minimumRetryDelay().toMillis();
        long longest = settings.maximumRetryDelay().toMillis();
        Duration own = Duration.ofMillis(random.nextLong(shortest, longest + 1));
        if (honoursRetryAfter
                && result instanceof NotRun(String reason, Duration retryAfter)
                && retryAfter.compareTo(own) > 0) {
            return retryAfter;
        }
        return own;
    }

    private static List<Integer> shuffled(List<Integer> ports, SplittableRandom random) {
        List<Integer> result = new ArrayList<>(ports);
        for (int last = result.size() - 1; last > 0; last--) {
            int other = random.nextInt(last + 1);
            result.set(other, result.set(last, result.get(other)));
        }
        return List.copyOf(result);
    }
}
