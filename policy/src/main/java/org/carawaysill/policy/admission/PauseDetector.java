package org.carawaysill.policy.admission;

/**
 * Notices, by a gap between two events, that this node itself was paused.
 *
 * <p>Guards against blaming the copy for the pause of its node: requests that ran meanwhile seem to have taken as long
 * as the pause, every new one looks hopeless, and all are refused although the copy is quick. A longer gap than {@link
 * #LONGEST_GAP_NANOS} counts as no longer than that, and from a request that ran during one nothing is learned.
 *
 * <p>Not thread safe.
 */
final class PauseDetector {

    private static final long LONGEST_GAP_NANOS = 1_000_000_000L;

    private long lastNanos = Long.MIN_VALUE;
    private long lastPauseNanos = Long.MIN_VALUE;

    /**
     * Takes note of an event.
     *
     * @param now nanoseconds on the monotonic clock
     * @return the time since the last event, as far as this node was awake
     */
    long elapsed(long now) {
        long gap = lastNanos == Long.MIN_VALUE ? 0 : now - lastNanos;
        lastNanos = now;
        if (gap > LONGEST_GAP_NANOS) {
            lastPauseNanos = now;
            return LONGEST_GAP_NANOS;
        }
        return gap;
    }

    boolean pausedSince(long startedNanos) {
        return startedNanos < lastPauseNanos;
    }
}
