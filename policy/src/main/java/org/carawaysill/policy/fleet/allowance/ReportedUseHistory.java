package org.carawaysill.policy.fleet.allowance;

import java.time.Duration;

/**
 * The recent history of the fleet's use as reported to this node.
 *
 * <p>Not thread safe: owned by the policy.
 */
final class ReportedUseHistory {

    /** The number of sums that are kept: some seven seconds of them, more than a window of five. */
    private static final int CAPACITY = 18;

    /** A sum that was reported longer than this before the requested time does not apply to it. */
    private static final long VALIDITY_NANOS = Duration.ofSeconds(1).toNanos();

    private final long[] times = new long[CAPACITY];
    private final int[] sums = new int[CAPACITY];
    private int next;
    private int size;

    void add(long now, int sum) {
        times[next] = now;
        sums[next] = sum;
        next = (next + 1) % CAPACITY;
        size = Math.min(CAPACITY, size + 1);
    }

    /** Returns the last sum that had been reported at a given time; 0 if none was reported shortly before it. */
    int at(long nanos) {
        for (int age = 1; age <= size; age++) {
            int index = Math.floorMod(next - age, CAPACITY);
            if (times[index] <= nanos) {
                return nanos - times[index] <= VALIDITY_NANOS ? sums[index] : 0;
            }
        }
        return 0;
    }
}
