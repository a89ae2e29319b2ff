package org.carawaysill.policy.retry;

import java.time.Duration;

/**
 * The soft budget of retries.
 *
 * <p>Invariant: a fraction of at least 0, a positive window. Immutable and thread safe.
 *
 * @param fraction retries allowed as a fraction of first attempts
 * @param minimum retries allowed in each window whatever the first attempts
 * @param window how far back attempts count
 */
public record RetryBudgetSettings(double fraction, int minimum, Duration window) {

    /** What holds unless the settings of a node say otherwise. */
    public static final RetryBudgetSettings DEFAULTS = new RetryBudgetSettings(0.1, 3, Duration.ofSeconds(10));

    public RetryBudgetSettings {
        if (fraction < 0 || minimum < 0 || !window.isPositive()) {
            throw new IllegalArgumentException("the budget must not be negative and its window must be positive");
        }
    }
}
