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
 * @param overshoot the share of the allowance by which a window may exceed it
 * @param slack requests by which a window may exceed it besides
 */
public record AllowanceBounds(Duration window, double overshoot, double slack) {

    /** The bounds where the platform states none. */
    public static final AllowanceBounds STRICT = new AllowanceBounds(Duration.ofSeconds(5), 0, 0);

    public AllowanceBounds {
        if (window.isNegative() || window.isZero() || !(overshoot >= 0) || !(slack >= 0)) {
            throw new IllegalArgumentException("bounds of allowances must not be negative, nor the window empty");
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
     * Returns how many requests may be admitted within a window at the most.
     *
     * @param allowance the allowance
     * @return requests
     */
    public double most(Allowance allowance) {
        return allowed(allowance) * (1 + overshoot) + slack;
    }
}
