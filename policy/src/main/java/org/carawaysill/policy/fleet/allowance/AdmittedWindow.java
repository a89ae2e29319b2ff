package org.carawaysill.policy.fleet.allowance;

/**
 * Counts what was admitted within the last window of time, by parts of it.
 *
 * <p>Invariant: a part counts until the whole window has passed since its end. Not thread safe: owned by the policy.
 */
final class AdmittedWindow {

    /** Parts of a window. */
    static final int PARTS = 50;

    private final int[] counts = new int[PARTS + 1];
    private final long partNanos;
    private long part;
    private int sum;

    /**
     * Starts with nothing counted.
     *
     * @param now the monotonic time
     * @param windowNanos the length of the window
     */
    AdmittedWindow(long now, long windowNanos) {
        partNanos = Math.max(1, windowNanos / PARTS);
        part = Math.floorDiv(now, partNanos);
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

    void add(long now) {
        moveTo(now);
        counts[index(part)]++;
        sum++;
    }

    /** Takes one back that was counted at an earlier time; one that has left the window counts for nothing already. */
    void takeBack(long now, long countedNanos) {
        moveTo(now);
        long counted = Math.floorDiv(countedNanos, partNanos);
        if (part - counted < counts.length && counts[index(counted)] > 0) {
            counts[index(counted)]--;
            sum--;
        }
    }

    int sum(long now) {
        moveTo(now);
        return sum;
    }

    /** Returns how many were counted since a time, the whole part in which it lies included. */
    int since(long now, long fromNanos) {
        moveTo(now);
        long first = Math.max(Math.floorDiv(fromNanos, partNanos), part - PARTS);
        int recent = 0;
        for (long each = first; each <= part; each++) {
            recent += counts[index(each)];
        }
        return recent;
    }
}
