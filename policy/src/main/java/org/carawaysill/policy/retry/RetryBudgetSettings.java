package org.carawaysill.policy.retry;

import java.time.Duration;

/**
 * Configures the soft limit on retries.
 *
 * <p>Invariant: a fraction of at least 0, a positive window. Immutable and thread safe.
 *
 * @param fraction the retries allowed, as a fraction of first attempts
 * @param minimum the retries allowed in each window regardless of the number of first attempts
 * @param window the period in which attempts are counted
 */
public record RetryBudgetSettings(double fraction, int minimum, Duration window) {

    /** The defaults where the settings of a node give no other values. */
    public static final RetryBudgetSettings DEFAULTS = new RetryBudgetSettings(0.1, 3, Duration.ofSeconds(10));

    public RetryBudgetSettings {
        if (fraction < 0 || minimum < 0 || !window.isPositive()) {
            throw new IllegalArgumentException(
                    "the retry budget's fraction and minimum must not be negative and its window must be positive");
        }
    }
}
