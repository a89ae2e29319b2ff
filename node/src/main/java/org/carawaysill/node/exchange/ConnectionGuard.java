package org.carawaysill.node.exchange;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import org.carawaysill.node.observation.ConnectionFault;
import org.carawaysill.node.observation.Counters;

/**
 * Closes connections that hold a place without using it.
 *
 * <p>Guards against clients that connect and stay silent, send a byte now and then, or don't read their answers, which
 * shows as a node without room for others. An idle timeout of the socket doesn't help, since each byte restarts it; here
 * each phase of an exchange has a limit as a whole. Waiting for the answer has none: the policy's deadline ends it.
 * Invariant: every open connection is watched. Confined to the event loop; ticks only while connections are open.
 */
final class ConnectionGuard {

    private static final long SWEEP_MILLIS = 1000;

    private final Vertx vertx;

    private final ConnectionLimits limits;

    private final Counters counters;

    private final Map<HttpConnection, ConnectionWatch> open = new IdentityHashMap<>();

    private final long sweepMillis;

    private boolean sweepPlanned;

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
        planSweep();
    }

    ConnectionWatch watch(HttpConnection connection) {
        return open.getOrDefault(connection, new ConnectionWatch(limits));
    }

    private void planSweep() {
        if (!sweepPlanned && !open.isEmpty()) {
            sweepPlanned = true;
            vertx.setTimer(sweepMillis, ignored -> sweep());
        }
    }

    private void sweep() {
        long now = System.nanoTime();
        for (Map.Entry<HttpConnection, ConnectionWatch> entry : List.copyOf(open.entrySet())) {
            entry.getValue().faultAt(now).ifPresent(fault -> close(entry.getKey(), fault));
        }
        sweepPlanned = false;
        planSweep();
    }

    private void close(HttpConnection connection, ConnectionFault fault) {
        open.remove(connection);
        counters.count(fault);
        connection.close();
    }
}
