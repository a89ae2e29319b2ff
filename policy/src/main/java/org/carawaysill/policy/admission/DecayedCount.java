package org.carawaysill.policy.admission;

/** Counts occurrences of about the last second, older ones with exponentially less weight. Not thread safe. */
final class DecayedCount {

    private static final double MEMORY_NANOS = 1e9;

    private double count;
    private long lastNanos;

    void add(long now) {
        count = value(now) + 1;
        lastNanos = now;
    }

    /**
     * Tells the count.
     *
     * @param now nanoseconds on the monotonic clock
     * @return the count, which is also the rate per second
     */
    double value(long now) {
        return count * Math.exp(-Math.max(0, now - lastNanos) / MEMORY_NANOS);
    }
}
