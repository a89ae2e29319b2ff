package org.carawaysill.policy.fleet.allowance;

import java.time.Duration;

/**
 * The sums of the fleet's use that a node was told within the last seconds.
 *
 * <p>Not thread safe: owned by the policy.
 */
final class ToldHistory {

    /** Sums that are kept: some seven seconds of them, more than a window of five. */
    private static final int KEPT = 18;

    /** A sum that was told longer before the time that is asked for says nothing of it. */
    private static final long VALID_NANOS = Duration.ofSeconds(1).toNanos();

    private final long[] times = new long[KEPT];
    private final int[] sums = new int[KEPT];
    private int next;
    private int size;

    void add(long now, int sum) {
        times[next] = now;
        sums[next] = sum;
        next = (next + 1) % KEPT;
        size = Math.min(KEPT, size + 1);
    }

    /** Returns the last sum that had been told at a time; 0 where none was told lately then. */
    int at(long nanos) {
        for (int back = 1; back <= size; back++) {
            int index = Math.floorMod(next - back, KEPT);
            if (times[index] <= nanos) {
                return nanos - times[index] <= VALID_NANOS ? sums[index] : 0;
            }
        }
        return 0;
    }
}
