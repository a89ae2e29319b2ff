package org.carawaysill.node.upstream;

import java.time.Duration;
import java.util.Optional;
import org.carawaysill.policy.fleet.FleetEffect;

/**
 * A request at the local copy.
 *
 * <p>Invariant: ends once. Not thread safe: confined to the event loop.
 */
final class CopyExchange {

    private final FleetEffect.SendToCopy request;
    private Optional<CopyConnection> connection = Optional.empty();
    private Optional<Duration> rested = Optional.empty();
    private long writtenNanos;
    private boolean ended;

    CopyExchange(FleetEffect.SendToCopy request) {
        this.request = request;
    }

    FleetEffect.SendToCopy request() {
        return request;
    }

    /** Starts the exchange on a connection that has rested for the given time, empty if it carried no request before. */
    void startOn(CopyConnection carrier, Optional<Duration> restedBefore) {
        connection = Optional.of(carrier);
        rested = restedBefore;
        writtenNanos = System.nanoTime();
    }

    /** Returns the time since the request was written to its connection. */
    Duration age() {
        return Duration.ofNanos(System.nanoTime() - writtenNanos);
    }

    /** Returns how long the connection had rested before the request; empty if it carried no request before. */
    Optional<Duration> rested() {
        return rested;
    }

    Optional<CopyConnection> connection() {
        return connection;
    }

    boolean isEnded() {
        return ended;
    }

    /** Ends the exchange, and returns whether this is its first end. */
    boolean end() {
        boolean first = !ended;
        ended = true;
        return first;
    }
}
