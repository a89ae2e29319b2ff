package org.carawaysill.policy.ownership;

import java.time.Duration;

/**
 * The bounds of a holder's table and of the clocks that it trusts.
 *
 * <p>Invariant: all positive, and the least lifetime is not longer than the lifetime. Immutable and thread safe.
 *
 * @param keyLifetime how long callers repeat a key; a key without minting time is trusted only after this long
 * @param leastLifetime an entry is never dropped sooner, even when the table is full
 * @param clockMargin the most by which the wall clocks of two nodes differ
 * @param futureTolerance how far ahead of this node's wall clock a caller may mint its key
 * @param maximumEntries the most requests that are remembered
 * @param maximumAnswerBytes the most bytes of answers that are remembered
 */
public record HolderSettings(
        Duration keyLifetime,
        Duration leastLifetime,
        Duration clockMargin,
        Duration futureTolerance,
        int maximumEntries,
        long maximumAnswerBytes) {

    /** What holds unless the settings of a node say otherwise. */
    public static final HolderSettings DEFAULTS = new HolderSettings(
            Duration.ofHours(1),
            Duration.ofMinutes(1),
            Duration.ofMillis(500),
            Duration.ofMillis(500),
            50_000,
            4L * 1024 * 1024);

    public HolderSettings {
        if (keyLifetime.compareTo(leastLifetime) < 0 || !leastLifetime.isPositive()) {
            throw new IllegalArgumentException("the least lifetime must be positive and within the key lifetime");
        }
        if (clockMargin.isNegative() || futureTolerance.isNegative()) {
            throw new IllegalArgumentException("clock margins must not be negative");
        }
        if (maximumEntries < 1 || maximumAnswerBytes < 0) {
            throw new IllegalArgumentException("the table needs room for at least one entry");
        }
    }
}
