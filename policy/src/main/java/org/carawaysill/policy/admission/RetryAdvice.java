package org.carawaysill.policy.admission;

import java.time.Duration;

/**
 * Computes when a refused request should be retried: once the requests that wait now and those refused within about the
 * last second can have been answered at the current rate.
 *
 * <p>The advice is jittered by up to half its length either way, so that requests refused together don't return
 * together. Invariant: the advice is between {@link #SHORTEST} and {@link #LONGEST}. Not thread safe.
 */
final class RetryAdvice {

    /** The shortest advice. */
    static final Duration SHORTEST = Duration.ofMillis(50);

    /** The longest advice. */
    static final Duration LONGEST = Duration.ofSeconds(10);

    private static final double MILLIS_PER_SECOND = 1e3;
    private static final double SMALLEST_SPREAD = 0.5;
    private static final long GOLDEN_RATIO_BITS = 0x9E3779B97F4A7C15L;
    private static final int UNUSED_BITS = Long.SIZE - 53;
    private static final double UNIT = 0x1.0p-53;

    private final DecayedCount refused = new DecayedCount();

    /**
     * Records a refusal and returns the advice for it.
     *
     * @param now nanoseconds on the monotonic clock
     * @param waiting how many requests wait
     * @param answersPerSecond how fast they are answered
     * @param salt a value that differs between refusals and determines the jitter
     * @return how long the caller should wait before it tries again
     */
    Duration refuse(long now, int waiting, double answersPerSecond, long salt) {
        refused.add(now);
        double seconds = (waiting + refused.value(now)) / Math.max(answersPerSecond, Double.MIN_NORMAL);
        double millis = seconds * MILLIS_PER_SECOND * spread(salt);
        return Duration.ofMillis(Math.round(Math.clamp(millis, SHORTEST.toMillis(), LONGEST.toMillis())));
    }

    private static double spread(long salt) {
        return SMALLEST_SPREAD + (salt * GOLDEN_RATIO_BITS >>> UNUSED_BITS) * UNIT;
    }
}
