package org.carawaysill.policy.time;

/**
 * Counts occurrences within the last parts of time.
 *
 * <p>Invariant: a part leaves the count whole, when that many parts have begun after it. Not thread safe: owned by the policy.
 */
public final class SlidingCount {

    private final int[] counts;
    private final long partNanos;
    private long part;
    private int sum;

    /**
     * Starts with nothing counted.
     *
     * @param now the monotonic time
     * @param partNanos the length of a part in nanoseconds; 0 counts as 1
     * @param parts how many parts count, the present one included
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
     * Counts one.
     *
     * @param now the monotonic time
     */
    public void add(long now) {
        moveTo(now);
        counts[index(part)]++;
        sum++;
    }

    /**
     * Takes one back that was counted at an earlier time; one that has left the count is gone already.
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
     * Returns how many were counted within all parts.
     *
     * @param now the monotonic time
     * @return the count
     */
    public int sum(long now) {
        moveTo(now);
        return sum;
    }

    /**
     * Returns how many were counted since a time, the whole part in which it lies included.
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
