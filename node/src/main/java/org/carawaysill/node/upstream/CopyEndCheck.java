package org.carawaysill.node.upstream;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ConnectTimeoutException;
import java.net.ConnectException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.carawaysill.model.fleet.CopyName;
import org.carawaysill.node.observation.ConnectionEnd;
import org.carawaysill.node.observation.CopyCheck;
import org.carawaysill.node.observation.CopyCheck.ProbeResult;

/**
 * Finds out whether the copy has ended or only some of its connections.
 *
 * <p>Otherwise a request that crashes its copy would look like one whose connection was reset, and would be sent to the
 * next copy. The copy has ended if all its connections end at the same time. Its listening socket may stay open for
 * milliseconds, or permanently if another process holds it. A refused connection shows the end only if no other
 * connection was open, since a leaving copy closes that socket long before it ends.
 *
 * <p>Invariant: a request on an open connection is never ended by a check. Not thread safe: confined to the event loop.
 */
final class CopyEndCheck {

    /** The time limit of a probe. The address of an ended process refuses at once; a slow one may still be running. */
    private static final int PROBE_LIMIT_MILLIS = 100;

    /** The time in which all connections of an ending process are closed, one after the other. */
    private static final int SETTLING_MILLIS = 10;

    private final CopyConnections pool;
    private final BrokenExchanges broken = new BrokenExchanges();
    private ProbeResult lastProbe = ProbeResult.FAILED;
    private boolean stopped;

    CopyEndCheck(CopyConnections pool) {
        this.pool = pool;
    }

    /** Adds an exchange whose connection ended, and starts a check unless one is in progress. */
    void add(BrokenExchange exchange) {
        if (!stopped && broken.add(exchange, pool.open())) {
            probe();
        }
    }

    /** Ignores a connection that this side closes. */
    void ignore(CopyConnection connection) {
        broken.ignore(connection);
    }

    /** Starts no more checks: this node closes all connections. */
    void stop() {
        stopped = true;
    }

    private void probe() {
        CopyConnection connection = pool.newConnection();
        pool.openConnection(connection, PROBE_LIMIT_MILLIS)
                .addListener((ChannelFuture connected) -> probed(connection, connected));
    }

    private void probed(CopyConnection connection, ChannelFuture connected) {
        lastProbe = result(connected);
        if (lastProbe == ProbeResult.ACCEPTED) {
            pool.opened(connection);
            afterSettling(() -> settled(connection));
        } else if (lastProbe == ProbeResult.REFUSED) {
            afterSettling(this::settledAfterRefusal);
        } else {
            onlyConnectionsEnded();
        }
    }

    private static ProbeResult result(ChannelFuture connected) {
        if (connected.isSuccess()) {
            return ProbeResult.ACCEPTED;
        }
        return switch (connected.cause()) {
            case ConnectTimeoutException _ -> ProbeResult.TIMED_OUT;
            case ConnectException _ -> ProbeResult.REFUSED;
            default -> ProbeResult.FAILED;
        };
    }

    private void afterSettling(Runnable conclusion) {
        pool.eventLoop().schedule(conclusion, SETTLING_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** A leaving copy closes its listening socket first, and continues to serve its open connections. */
    private void settledAfterRefusal() {
        if (!broken.isAnyOtherOpen(pool.open())) {
            copyEnded();
        } else {
            probeAgainOrEnd(false);
        }
    }

    private void settled(CopyConnection connection) {
        if (broken.haveAllOthersEnded(pool.open())) {
            connection.close(ConnectionEnd.IDLE);
            copyEnded();
            return;
        }
        boolean usable = connection.isUsable(System.nanoTime());
        if (usable) {
            pool.release(connection);
        }
        probeAgainOrEnd(!usable);
    }

    private void probeAgainOrEnd(boolean probeEnded) {
        if (broken.needsAnotherProbe(pool.open(), probeEnded)) {
            probe();
        } else {
            onlyConnectionsEnded();
        }
    }

    private void copyEnded() {
        CopyCheck.Builder check = check();
        broken.removeAll();
        int lost = pool.crashed();
        pool.log()
                .copyChecked(
                        check.crashed(true).lost(lost).kept(pool.runningCount()).build());
    }

    private void onlyConnectionsEnded() {
        CopyCheck.Builder check = check();
        List<BrokenExchange> ended = broken.removeAll();
        ended.forEach(exchange -> pool.ended(exchange.exchange(), exchange.outcome()));
        pool.log()
                .copyChecked(check.crashed(false)
                        .lost(ended.size())
                        .kept(pool.runningCount())
                        .build());
    }

    private CopyCheck.Builder check() {
        CopyName copy = broken.first().exchange().request().copy();
        return CopyCheck.of(copy)
                .probe(lastProbe)
                .probes(broken.probes())
                .openBefore(broken.othersCount())
                .openAfter(broken.othersStillOpen(pool.open()));
    }
}
