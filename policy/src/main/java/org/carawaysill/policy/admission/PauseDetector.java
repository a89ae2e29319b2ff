package org.carawaysill.policy.admission;

/**
 * Detects pauses of this node's own process from the gap between two events.
 *
 * <p>Without it, a pause of the node would be attributed to the copy: requests that ran meanwhile seem to have taken as
 * long as the pause, every new one looks too late, and all are refused although the copy is quick. A gap longer than
 * {@link #MAXIMUM_GAP_NANOS} counts as that long, and nothing is learned from a request that ran during one.
 *
 * <p>Not thread safe.
 */
final class PauseDetector {

    private static final long MAXIMUM_GAP_NANOS = 1_000_000_000L;

    private long lastNanos = Long.MIN_VALUE;
    private long lastPauseNanos = Long.MIN_VALUE;

    /**
     * Records an event.
     *
     * @param now nanoseconds on the monotonic clock
     * @return the time since the last event, at most {@link #MAXIMUM_GAP_NANOS}
     */
    long elapsed(long now) {
        long gap = lastNanos == Long.MIN_VALUE ? 0 : now - lastNanos;
        lastNanos = now;
        if (gap > MAXIMUM_GAP_NANOS) {
            lastPauseNanos = now;
            return MAXIMUM_GAP_NANOS;
        }
        return gap;
    }

    boolean pausedSince(long startedNanos) {
        return startedNanos < lastPauseNanos;
    }
}
