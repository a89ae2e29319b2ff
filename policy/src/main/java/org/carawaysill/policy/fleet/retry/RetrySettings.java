package org.carawaysill.policy.fleet.retry;

import java.time.Duration;

/**
 * The bound on attempts beyond the first that a service may receive from the whole fleet.
 *
 * <p>Invariant: the window is positive, the ratio and the extra retries are not negative. Immutable and thread safe.
 *
 * @param ratio the number of retries for each first attempt
 * @param extra the number of additional retries in each window
 * @param window the length of the sliding window
 */
public record RetrySettings(double ratio, double extra, Duration window) {

    public RetrySettings {
        if (!(ratio >= 0) || !(extra >= 0) || !window.isPositive()) {
            throw new IllegalArgumentException(
                    "window must be positive, and ratio and extra retries must be at least 0");
        }
    }
}
