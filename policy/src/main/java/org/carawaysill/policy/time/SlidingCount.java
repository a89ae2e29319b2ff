package org.carawaysill.policy.time;

/**
 * Counts occurrences within a sliding window that consists of equal time intervals.
 *
 * <p>Invariant: an interval leaves the count as a whole, once as many intervals have begun after it as the window has.
 * Not thread safe: owned by the policy.
 */
public final class SlidingCount {

    private final int[] counts;
    private final long partNanos;
    private long part;
    private int sum;

    /**
     * Creates an empty count.
     *
     * @param now the monotonic time
     * @param partNanos the length of an interval in nanoseconds; 0 counts as 1
     * @param parts the number of intervals in the window, including the current one
     */
    public SlidingCount(long now, long partNanos, int parts) {
        this.partNanos = Math.max(1, partNanos);
        counts = new int[parts];
        part = Math.floorDiv(now, this.partNanos);
    }

    private void moveTo(long now) {
        long newPart = Math.floorDiv(now, partNanos);
        for (long steps = Math.min(newPart - part, counts.length); steps > 0; steps--) {
            part++;
            sum -= counts[index(part)];
            counts[index(part)] = 0;
        }
        part = Math.max(part, newPart);
    }

    private int index(long ofPart) {
        return (int) Math.floorMod(ofPart, (long) counts.length);
    }

    /**
     * Counts one occurrence.
     *
     * @param now the monotonic time
     */
    public void add(long now) {
        moveTo(now);
        counts[index(part)]++;
        sum++;
    }

    /**
     * Removes an occurrence that was counted at an earlier time, unless its interval has already left the window.
     *
     * @param now the monotonic time
     * @param countedNanos when it was counted
     */
    public void takeBack(long now, long countedNanos) {
        moveTo(now);
        long counted = Math.floorDiv(countedNanos, partNanos);
        if (part - counted < counts.length && counts[index(counted)] > 0) {
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
        moveTo(now);
        return sum;
    }

    /**
     * Returns the number of occurrences since a time, including the whole interval that contains this time.
     *
     * @param now the monotonic time
     * @param fromNanos the time
     * @return the count
     */
    public int since(long now, long fromNanos) {
        moveTo(now);
        long first = Math.max(Math.floorDiv(fromNanos, partNanos), part - counts.length + 1);
        int recent = 0;
        for (long each = first; each <= part; each++) {
            recent += counts[index(each)];
        }
        return recent;
    }
}
