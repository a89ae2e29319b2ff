package org.carawaysill.node.upstream;

import java.time.Duration;
import java.util.Optional;
import org.carawaysill.policy.fleet.FleetEffect;

/**
 * One request at the local copy.
 *
 * <p>Invariant: ends once. Confined to the event loop.
 */
final class CopyExchange {

    private final FleetEffect.HandToCopy request;
    private Optional<CopyConnection> connection = Optional.empty();
    private long writtenNanos;
    private boolean ended;

    CopyExchange(FleetEffect.HandToCopy request) {
        this.request = request;
    }

    FleetEffect.HandToCopy request() {
        return request;
    }

    void on(CopyConnection carrier) {
        connection = Optional.of(carrier);
        writtenNanos = System.nanoTime();
    }

    /** Returns how long ago it was written to its connection. */
    Duration age() {
        return Duration.ofNanos(System.nanoTime() - writtenNanos);
    }

    Optional<CopyConnection> connection() {
        return connection;
    }

    boolean isEnded() {
        return ended;
    }

    /** Notes the end; tells whether this was the first. */
    boolean end() {
        boolean first = !ended;
        ended = true;
        return first;
    }
}
