package org.carawaysill.policy.fleet.placing;

import java.time.Duration;

/**
 * How slow a copy is, as a multiple of the usual time of its service.
 *
 * <p>Invariants: the result is within {@link #LEAST} and {@link #MOST}; a single measurement moves it by a bounded part;
 * what was learned ages towards the usual. Not thread safe: owned by the policy.
 */
final class CopySpeed {

    static final double LEAST = 0.2;
    static final double MOST = 5;

    /**
     * A reported time counts within these bounds: a mean over short and long work tells of the mix that a copy received as
     * much as of its speed.
     */
    private static final double LEAST_REPORTED = 0.5;

    private static final double MOST_REPORTED = 2;

    /** The weight of what the copy's node reports, in measurements of this node. */
    private static final double REPORT_WEIGHT = 2;

    /** The most recent measurements that count. */
    private static final double MAXIMUM_COUNT = 20;

    /** After this time without a measurement, those before count about a third. */
    private static final double AGING_NANOS = Duration.ofSeconds(8).toNanos();

    /** The time in which a changed report takes effect by about two thirds. */
    private static final double REPORT_NANOS = Duration.ofMillis(800).toNanos();

    private double reported = 1;
    private boolean isReported;
    private long reportedNanos;
    private double measured = 1;
    private double count;
    private long measuredNanos;
    private double slowness = 1;

    /** Takes in the time that the copy's node reports as a multiple of the usual; 0 if it reports none. */
    void report(long now, double multiple) {
        double target = multiple == 0 ? 1 : Math.clamp(multiple, LEAST_REPORTED, MOST_REPORTED);
        if (isReported || multiple == 0) {
            reported += (1 - Math.exp(-Math.max(0, now - reportedNanos) / REPORT_NANOS)) * (target - reported);
        } else {
            reported = target;
            isReported = true;
        }
        reportedNanos = now;
        age(now);
        combine();
    }

    /** Takes in the time of a run as a multiple of the usual of its route. */
    void measure(long now, double multiple) {
        age(now);
        count = Math.min(MAXIMUM_COUNT, count + 1);
        measured += (within(multiple) - measured) / count;
        combine();
    }

    private void age(long now) {
        if (now > measuredNanos) {
            count *= Math.exp(-(now - measuredNanos) / AGING_NANOS);
            measuredNanos = now;
        }
    }

    private void combine() {
        slowness = (REPORT_WEIGHT * reported + count * measured) / (REPORT_WEIGHT + count);
    }

    private static double within(double multiple) {
        return Math.clamp(multiple, LEAST, MOST);
    }

    double slowness() {
        return slowness;
    }
}
