package org.carawaysill.policy.engine;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;

/**
 * Records the attempts that other nodes sent recently.
 *
 * <p>Invariant: an attempt is kept for at least the given time, which no message outlives, and at most twice as long. Not
 * thread safe: owned by the policy.
 */
final class SeenAttempts {

    private final long retentionNanos;
    private Set<WorkOrigin.FromPeer> current = new HashSet<>();
    private Set<WorkOrigin.FromPeer> previous = new HashSet<>();
    private long rotatedNanos = Long.MIN_VALUE;

    SeenAttempts(Duration retention) {
        retentionNanos = retention.toNanos();
    }

    /** Records an attempt, and returns whether it is new. */
    boolean add(long now, WorkOrigin.FromPeer attempt) {
        rotate(now);
        return !previous.contains(attempt) && current.add(attempt);
    }

    private void rotate(long now) {
        if (rotatedNanos == Long.MIN_VALUE || now - rotatedNanos >= retentionNanos) {
            previous = current;
            current = new HashSet<>();
            rotatedNanos = now;
        }
    }
}
