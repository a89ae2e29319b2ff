package org.carawaysill.policy.admission;

import java.time.Duration;

/**
 * When a refused request should come back: once what waits now, and what was refused within the last second, can have
 * been answered at the present rate.
 *
 * <p>The advice is spread by half its length either way, so that those refused together don't return together.
 * Invariant: between {@link #SHORTEST} and {@link #LONGEST}. Not thread safe.
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
     * Takes note of a refusal and gives advice.
     *
     * @param now nanoseconds on the monotonic clock
     * @param waiting how many requests wait
     * @param answersPerSecond how fast they are answered
     * @param salt what tells this refusal from others
     * @return when to come back
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
