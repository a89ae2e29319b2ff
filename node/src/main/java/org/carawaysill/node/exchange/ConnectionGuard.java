package org.carawaysill.node.exchange;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import org.carawaysill.node.observation.ConnectionFault;
import org.carawaysill.node.observation.Counters;

/**
 * Closes connections that occupy the server without making progress.
 *
 * <p>Guards against clients that connect and send nothing, send a byte now and then, or don't read their answers, until
 * the node has no connections left for others. An idle timeout of the socket doesn't help, since each byte restarts it;
 * here each phase of an exchange has a time limit as a whole. Only waiting for the answer has none: the policy's
 * deadline ends it. Invariant: every open connection is watched. Not thread safe: confined to the event loop. The timer
 * runs only while connections are open.
 */
final class ConnectionGuard {

    private static final long SWEEP_MILLIS = 1000;

    private final Vertx vertx;

    private final ConnectionLimits limits;

    private final Counters counters;

    private final Map<HttpConnection, ConnectionWatch> open = new IdentityHashMap<>();

    private final long sweepMillis;

    private boolean sweepScheduled;

    ConnectionGuard(Vertx vertx, ConnectionLimits limits, Counters counters) {
        this.vertx = vertx;
        this.limits = limits;
        this.counters = counters;
        this.sweepMillis = Math.min(SWEEP_MILLIS, limits.header().toMillis());
    }

    void opened(HttpConnection connection) {
        if (open.size() >= limits.connections()) {
            close(connection, ConnectionFault.TOO_MANY);
            return;
        }
        open.put(connection, new ConnectionWatch(limits));
        connection.closeHandler(ignored -> open.remove(connection));
        connection.exceptionHandler(ignored -> counters.count(ConnectionFault.BROKEN));
        scheduleSweep();
    }

    ConnectionWatch watch(HttpConnection connection) {
        return open.getOrDefault(connection, new ConnectionWatch(limits));
    }

    private void scheduleSweep() {
        if (!sweepScheduled && !open.isEmpty()) {
            sweepScheduled = true;
            vertx.setTimer(sweepMillis, ignored -> sweep());
        }
    }

    private void sweep() {
        long now = System.nanoTime();
        for (Map.Entry<HttpConnection, ConnectionWatch> entry : List.copyOf(open.entrySet())) {
            entry.getValue().faultAt(now).ifPresent(fault -> close(entry.getKey(), fault));
        }
        sweepScheduled = false;
        scheduleSweep();
    }

    private void close(HttpConnection connection, ConnectionFault fault) {
        open.remove(connection);
        counters.count(fault);
        connection.close();
    }
}
