package org.carawaysill.load.run;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import org.carawaysill.load.client.Clients;
import org.carawaysill.load.client.RequestRecord;
import org.carawaysill.load.schedule.Arrival;

/**
 * Sends each request at its scheduled time, whether or not earlier requests have ended (an open-loop load generator).
 *
 * <p>Invariant: every arrival is sent once and recorded once. Not thread safe: used on one event loop, where the counts
 * must be read too.
 */
final class Sender {

    private static final long TICK_MILLISECONDS = 1;

    private final Vertx vertx;
    private final Clients clients;
    private final List<Arrival> arrivals;
    private final long startNanos;
    private final List<RequestRecord> records;
    private final Promise<List<RequestRecord>> done = Promise.promise();
    private int sent;
    private int whole;

    Sender(Vertx vertx, Clients clients, List<Arrival> arrivals, long startNanos) {
        this.vertx = vertx;
        this.clients = clients;
        this.arrivals = arrivals;
        this.startNanos = startNanos;
        this.records = new ArrayList<>(arrivals.size());
    }

    Future<List<RequestRecord>> run() {
        vertx.setPeriodic(TICK_MILLISECONDS, this::sendDue);
        return done.future();
    }

    int sent() {
        return sent;
    }

    int whole() {
        return whole;
    }

    int inFlight() {
        return sent - records.size();
    }

    private void sendDue(long timer) {
        long now = System.nanoTime() - startNanos;
        while (sent < arrivals.size() && arrivals.get(sent).atNanos() <= now) {
            Arrival arrival = arrivals.get(sent);
            sent++;
            clients.send(arrival).onSuccess(this::finished);
        }
        if (sent == arrivals.size()) {
            vertx.cancelTimer(timer);
        }
    }

    private void finished(RequestRecord request) {
        records.add(request);
        if (request.whole()) {
            whole++;
        }
        if (records.size() == arrivals.size()) {
            done.complete(List.copyOf(records));
        }
    }
}
