package org.carawaysill.policy.fleet.copy;

import java.time.Duration;
import org.carawaysill.policy.time.Nanos;

/**
 * The mean time that the local copy recently took for a request, without the time in which it waited for its own calls.
 *
 * <p>Only requests that succeeded count; otherwise a copy that fails at once would seem the fastest. Copies of one
 * service receive the same mix of requests, so their means are comparable. Not thread safe: owned by the policy.
 */
final class WorkTime {

    /**
     * The weight of one more request: about the last hundred count, because times at one copy differ by a factor of
     * ten.
     */
    private static final double REQUEST_WEIGHT = 0.01;

    /** The least number of requests before the mean is reported. */
    private static final int MINIMUM_REQUESTS = 20;

    /**
     * The mean is discarded after this long without a request. Guards against a copy that was slow once and is avoided
     * forever, because it receives no request that could show its recovery.
     */
    private static final long EXPIRY_NANOS = Duration.ofSeconds(2).toNanos();

    private int count;
    private double meanNanos;
    private long lastNanos;

    void add(long now, long nanos) {
        expire(now);
        lastNanos = now;
        count++;
        meanNanos += Math.max(REQUEST_WEIGHT, 1.0 / count) * (nanos - meanNanos);
    }

    private void expire(long now) {
        if (now - lastNanos > EXPIRY_NANOS) {
            count = 0;
            meanNanos = 0;
        }
    }

    /** Returns the mean in seconds, 0 while it is unknown. */
    double seconds(long now) {
        expire(now);
        return count < MINIMUM_REQUESTS ? 0 : meanNanos / Nanos.PER_SECOND;
    }

    void reset() {
        count = 0;
        meanNanos = 0;
    }
}
