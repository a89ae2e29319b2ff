package org.carawaysill.policy.fleet.copy;

import java.time.Duration;
import org.carawaysill.policy.time.Nanos;

/**
 * How long the local copy lately took for a request, without the time in which it waited for calls of its own.
 *
 * <p>Only requests that the copy did count: one that fails at once would seem the fastest of all. Copies of one service get the same mix of requests, so that the figures of two of them tell which is the faster. Not
 * thread safe: owned by the policy.
 */
final class WorkTime {

    /** The weight of one more request: the last hundred or so count, since times of one copy differ by a factor of ten. */
    private static final double REQUEST_WEIGHT = 0.01;

    /** Fewer say nothing yet. */
    private static final int ENOUGH_REQUESTS = 20;

    /**
     * After so long without a request nothing is known any more. Guards against a copy that was slow once and is shunned
     * for good, since it gets no request by which its recovery could show.
     */
    private static final long FORGOTTEN_AFTER_NANOS = Duration.ofSeconds(2).toNanos();

    private int count;
    private double meanNanos;
    private long lastNanos;

    void add(long now, long nanos) {
        forgetOld(now);
        lastNanos = now;
        count++;
        meanNanos += Math.max(REQUEST_WEIGHT, 1.0 / count) * (nanos - meanNanos);
    }

    private void forgetOld(long now) {
        if (now - lastNanos > FORGOTTEN_AFTER_NANOS) {
            count = 0;
            meanNanos = 0;
        }
    }

    /** Returns the mean in seconds, 0 where it is not known. */
    double seconds(long now) {
        forgetOld(now);
        return count < ENOUGH_REQUESTS ? 0 : meanNanos / Nanos.PER_SECOND;
    }

    void reset() {
        count = 0;
        meanNanos = 0;
    }
}
