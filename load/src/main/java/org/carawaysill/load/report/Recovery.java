package org.carawaysill.load.report;

import org.carawaysill.load.scenario.Window;

/**
 * The time from a trigger's end to the return of the normal goodput.
 *
 * <p>Goodput is normal again from the first bucket from which, for a second, as many whole requests come as 95% of the
 * normal rate, or of those sent in that second if they are fewer: arrivals are random, and a second in which few were sent
 * must not count as a failure to recover. The normal rate is the one at which requests are sent; it is below what the
 * bottleneck serves.
 *
 * <p>Immutable and thread safe.
 *
 * @param seconds the time, or the time watched if the normal goodput did not come back
 * @param complete whether it came back
 */
record Recovery(double seconds, boolean complete) {

    private static final double NORMAL_SHARE = 0.95;
    private static final int BUCKETS_PER_SECOND = 10;

    static Recovery of(Buckets buckets, double normalPerSecond, Window recovery) {
        int first = (int) Math.ceilDiv(recovery.startNanos(), Buckets.BUCKET_NANOS);
        int last = (int) (recovery.endNanos() / Buckets.BUCKET_NANOS) - BUCKETS_PER_SECOND;
        for (int from = first; from <= last; from++) {
            if (normalFrom(buckets, normalPerSecond, from)) {
                return new Recovery((from - first) / (double) BUCKETS_PER_SECOND, true);
            }
        }
        return new Recovery(recovery.seconds(), false);
    }

    private static boolean normalFrom(Buckets buckets, double normalPerSecond, int from) {
        int until = from + BUCKETS_PER_SECOND;
        double expected = Math.min(normalPerSecond, buckets.sent(from, until));
        return buckets.whole(from, until) >= NORMAL_SHARE * expected;
    }
}
