package org.carawaysill.policy.engine;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;

/**
 * The attempts that other nodes sent lately.
 *
 * <p>Invariant: an attempt is remembered for at least the memory given, which no message outlives, and at most twice as
 * long. Not thread safe: owned by the policy.
 */
final class SeenAttempts {

    private final long memoryNanos;
    private Set<WorkOrigin.FromPeer> present = new HashSet<>();
    private Set<WorkOrigin.FromPeer> before = new HashSet<>();
    private long turnedNanos = Long.MIN_VALUE;

    SeenAttempts(Duration memory) {
        memoryNanos = memory.toNanos();
    }

    /** Remembers an attempt, and tells whether it is new. */
    boolean add(long now, WorkOrigin.FromPeer attempt) {
        turn(now);
        return !before.contains(attempt) && present.add(attempt);
    }

    private void turn(long now) {
        if (turnedNanos == Long.MIN_VALUE || now - turnedNanos >= memoryNanos) {
            before = present;
            present = new HashSet<>();
            turnedNanos = now;
        }
    }
}
