package org.carawaysill.policy.fleet.allowance;

import java.time.Duration;
import org.carawaysill.model.fleet.Allowance;
import org.carawaysill.policy.time.Nanos;

/**
 * How far the requests admitted in any window may exceed an allowance.
 *
 * <p>Invariants: the window is positive; overshoot and slack are not negative. Immutable and thread safe.
 *
 * @param window the length of the windows
 * @param overshoot the part of the allowance by which a window may exceed it
 * @param slack the number of requests by which a window may exceed it in addition
 */
public record AllowanceBounds(Duration window, double overshoot, double slack) {

    /** The bounds if the platform publishes none. */
    public static final AllowanceBounds STRICT = new AllowanceBounds(Duration.ofSeconds(5), 0, 0);

    public AllowanceBounds {
        if (window.isNegative() || window.isZero() || !(overshoot >= 0) || !(slack >= 0)) {
            throw new IllegalArgumentException("window must be positive, and overshoot and slack must be at least 0");
        }
    }

    /**
     * Returns how many requests are allowed within a window.
     *
     * @param allowance the allowance
     * @return requests
     */
    public double allowed(Allowance allowance) {
        return allowance.within(window.toNanos() / Nanos.PER_SECOND);
    }

    /**
     * Returns the maximum number of requests that may be admitted within a window.
     *
     * @param allowance the allowance
     * @return requests
     */
    public double maximum(Allowance allowance) {
        return allowed(allowance) * (1 + overshoot) + slack;
    }
}
