package org.carawaysill.policy.fleet.copy;

import java.time.Duration;

/**
 * The time in which a copy that has started works at about half its speed.
 *
 * <p>Not thread safe: owned by the policy.
 */
final class WarmUp {

    /** By how much slower a cold copy works. */
    static final double COLD_FACTOR = 2;

    private final long wholeNanos;
    private long endNanos;

    WarmUp(long now, Duration left) {
        wholeNanos = Math.max(1, left.toNanos());
        update(now, left);
    }

    void update(long now, Duration left) {
        endNanos = now + left.toNanos();
    }

    boolean isOver(long now) {
        return now >= endNanos;
    }

    /** Returns by how much slower the copy works: a factor that falls evenly to 1 until the end. */
    double slowdown(long now) {
        return isOver(now) ? 1 : 1 + (COLD_FACTOR - 1) * Math.min(1, (endNanos - now) / (double) wholeNanos);
    }
}
