package org.carawaysill.policy.time;

/**
 * Counts occurrences within a sliding window that consists of equal time intervals.
 *
 * <p>Invariant: an interval leaves the count as a whole, once as many intervals have begun after it as the window has.
 * Not thread safe: owned by the policy.
 */
public final class SlidingCount {

    private final int[] counts;
    private final long intervalNanos;
    private long currentInterval;
    private int sum;

    /**
     * Creates an empty count.
     *
     * @param now the monotonic time
     * @param intervalNanos the length of an interval in nanoseconds; 0 counts as 1
     * @param intervals the number of intervals in the window, including the current one
     */
    public SlidingCount(long now, long intervalNanos, int intervals) {
        this.intervalNanos = Math.max(1, intervalNanos);
        counts = new int[intervals];
        currentInterval = Math.floorDiv(now, this.intervalNanos);
    }

    private void advanceTo(long now) {
        long newInterval = Math.floorDiv(now, intervalNanos);
        for (long steps = Math.min(newInterval - currentInterval, counts.length); steps > 0; steps--) {
            currentInterval++;
            sum -= counts[index(currentInterval)];
            counts[index(currentInterval)] = 0;
        }
        currentInterval = Math.max(currentInterval, newInterval);
    }

    private int index(long interval) {
        return (int) Math.floorMod(interval, (long) counts.length);
    }

    /**
     * Counts one occurrence.
     *
     * @param now the monotonic time
     */
    public void add(long now) {
        advanceTo(now);
        counts[index(currentInterval)]++;
        sum++;
    }

    /**
     * Removes an occurrence that was counted at an earlier time, unless its interval has already left the window.
     *
     * @param now the monotonic time
     * @param countedNanos when it was counted
     */
    public void remove(long now, long countedNanos) {
        advanceTo(now);
        long counted = Math.floorDiv(countedNanos, intervalNanos);
        if (currentInterval - counted < counts.length && counts[index(counted)] > 0) {
            counts[index(counted)]--;
            sum--;
        }
    }

    /**
     * Returns the number of occurrences within the window.
     *
     * @param now the monotonic time
     * @return the count
     */
    public int sum(long now) {
        advanceTo(now);
        return sum;
    }

    /**
     * Returns the number of occurrences since a time, including the whole interval that contains this time.
     *
     * @param now the monotonic time
     * @param fromNanos the time
     * @return the count
     */
    public int countSince(long now, long fromNanos) {
        advanceTo(now);
        long first = Math.max(Math.floorDiv(fromNanos, intervalNanos), currentInterval - counts.length + 1);
        int recent = 0;
        for (long each = first; each <= currentInterval; each++) {
            recent += counts[index(each)];
        }
        return recent;
    }
}
