package org.carawaysill.policy.retry;

import java.util.OptionalLong;
import java.util.random.RandomGenerator;

/** How long to wait before a retry. Not thread safe: one thread owns it. */
public final class Backoff {

    private static final long BASE_NANOS = 10_000_000L;
    private static final long LONGEST_NANOS = 500_000_000L;
    private static final int LARGEST_SHIFT = 10;

    private final RandomGenerator random;

    /**
     * Makes a backoff with exponential growth and full jitter.
     *
     * @param random where the jitter comes from
     */
    public Backoff(RandomGenerator random) {
        this.random = random;
    }

    /**
     * Chooses the wait before a retry.
     *
     * @param retry the number of the retry, from 1
     * @param remainingNanos time left until the deadline
     * @param usualNanos what the hop usually takes
     * @return nanoseconds to wait, or empty where the retry could not be answered within the deadline
     */
    public OptionalLong delay(int retry, long remainingNanos, long usualNanos) {
        long slackNanos = remainingNanos - usualNanos;
        if (slackNanos <= 0) {
            return OptionalLong.empty();
        }
        long ceiling = Math.min(LONGEST_NANOS, BASE_NANOS << Math.min(Math.max(0, retry - 1), LARGEST_SHIFT));
        return OptionalLong.of(random.nextLong(Math.min(ceiling, slackNanos)));
    }
}
