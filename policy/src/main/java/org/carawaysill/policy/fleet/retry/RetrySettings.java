package org.carawaysill.policy.fleet.retry;

import java.time.Duration;

/**
 * The bound on attempts beyond the first that a service may get from the whole fleet.
 *
 * <p>Invariant: the window is positive, the rest not negative. Immutable and thread safe.
 *
 * @param ratio repeats for each first attempt
 * @param extra repeats beside those, in each window
 * @param window the length of the sliding window
 */
public record RetrySettings(double ratio, double extra, Duration window) {

    public RetrySettings {
        if (!(ratio >= 0) || !(extra >= 0) || !window.isPositive()) {
            throw new IllegalArgumentException("the bound of repeats is out of range");
        }
    }
}
