package org.carawaysill.policy.retry;

import java.util.OptionalLong;
import java.util.random.RandomGenerator;

/** Chooses the delay before a retry. Not thread safe: one thread owns it. */
public final class Backoff {

    private static final long BASE_NANOS = 10_000_000L;
    private static final long LONGEST_NANOS = 500_000_000L;
    private static final int LARGEST_SHIFT = 10;

    private final RandomGenerator random;

    /**
     * Creates a backoff with exponential growth and full jitter.
     *
     * @param random the source of jitter
     */
    public Backoff(RandomGenerator random) {
        this.random = random;
    }

    /**
     * Returns the delay before a retry.
     *
     * @param retry the number of the retry, from 1
     * @param remainingNanos time left until the deadline
     * @param typicalNanos how long a call of this hop typically takes
     * @return the delay in nanoseconds, or empty if the retry is not expected to be answered within the deadline
     */
    public OptionalLong delay(int retry, long remainingNanos, long typicalNanos) {
        long slackNanos = remainingNanos - typicalNanos;
        if (slackNanos <= 0) {
            return OptionalLong.empty();
        }
        long ceiling = Math.min(LONGEST_NANOS, BASE_NANOS << Math.min(Math.max(0, retry - 1), LARGEST_SHIFT));
        return OptionalLong.of(random.nextLong(Math.min(ceiling, slackNanos)));
    }
}
