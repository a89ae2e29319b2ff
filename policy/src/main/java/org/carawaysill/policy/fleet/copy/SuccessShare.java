package org.carawaysill.policy.fleet.copy;

import java.time.Duration;

/**
 * The share of this node's recent requests that a copy fulfilled.
 *
 * <p>Not thread safe: owned by the policy.
 */
final class SuccessShare {

    /** The weight of one more answer: about the last ten count. */
    private static final double ANSWER_WEIGHT = 0.1;

    /**
     * The time without a request of this node after which the copy's failures no longer count: it may have recovered,
     * which only requests can show. At eight seconds, a hundredth fewer of the requests after a recovery are served.
     */
    private static final double FAILURE_EXPIRY_NANOS = Duration.ofSeconds(4).toNanos();

    private double share = 1;
    private long answeredNanos;

    void add(long now, boolean good) {
        share = at(now) + ANSWER_WEIGHT * ((good ? 1 : 0) - at(now));
        answeredNanos = now;
    }

    /** Returns the share, 0 to 1. Failures expire while this node sends no requests. */
    double at(long now) {
        double age = Math.min(1, (now - answeredNanos) / FAILURE_EXPIRY_NANOS);
        return share + age * (1 - share);
    }
}
