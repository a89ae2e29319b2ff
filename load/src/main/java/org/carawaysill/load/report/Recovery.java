package org.carawaysill.load.report;

import org.carawaysill.load.scenario.Window;

/**
 * The time from the end of a trigger until goodput is normal again.
 *
 * <p>Goodput is normal again from the first bucket after which, during one second, the complete answers reach 95% of
 * the normal rate, or of the requests sent in that second if they are fewer. Since arrivals are random, a second with
 * few requests must not count as a failure to recover. The normal rate is the one at which requests are sent; it is
 * below the bottleneck's capacity.
 *
 * <p>Immutable and thread safe.
 *
 * @param seconds the time, or the length of the recovery window if goodput did not become normal
 * @param complete whether goodput became normal
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
