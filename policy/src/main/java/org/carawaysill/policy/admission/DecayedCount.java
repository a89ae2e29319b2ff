package org.carawaysill.policy.admission;

/** Counts events with exponentially decaying weights and a time constant of one second. Not thread safe. */
final class DecayedCount {

    private static final double MEMORY_NANOS = 1e9;

    private double count;
    private long lastNanos;

    void add(long now) {
        count = value(now) + 1;
        lastNanos = now;
    }

    /**
     * Returns the count.
     *
     * @param now nanoseconds on the monotonic clock
     * @return the count, which with this time constant is also the rate per second
     */
    double value(long now) {
        return count * Math.exp(-Math.max(0, now - lastNanos) / MEMORY_NANOS);
    }
}
