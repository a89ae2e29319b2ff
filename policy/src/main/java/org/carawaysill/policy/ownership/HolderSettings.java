package org.carawaysill.policy.ownership;

import java.time.Duration;

/**
 * The bounds of a holder's table.
 *
 * <p>Invariant: the least lifetime is positive and not longer than the key lifetime. Immutable and thread safe.
 *
 * @param keyLifetime how long callers repeat a key; a node accepts a key without minting time only after it has been
 * holder for this long
 * @param leastLifetime how long an entry is kept at least, even when the table is full
 * @param futureTolerance how far ahead of this node's wall clock a caller may mint its key
 * @param maximumEntries the most requests that are recorded
 * @param maximumAnswerBytes the most bytes of answers that are kept
 */
public record HolderSettings(
        Duration keyLifetime,
        Duration leastLifetime,
        Duration futureTolerance,
        int maximumEntries,
        long maximumAnswerBytes) {

    /** The settings of a node that states none. */
    public static final HolderSettings DEFAULTS = new HolderSettings(
            Duration.ofHours(1), Duration.ofMinutes(1), Duration.ofMillis(500), 50_000, 4L * 1024 * 1024);

    public HolderSettings {
        if (keyLifetime.compareTo(leastLifetime) < 0 || !leastLifetime.isPositive()) {
            throw new IllegalArgumentException("the least lifetime must be positive and within the key lifetime");
        }
        if (futureTolerance.isNegative()) {
            throw new IllegalArgumentException("the future tolerance must not be negative");
        }
        if (maximumEntries < 1 || maximumAnswerBytes < 0) {
            throw new IllegalArgumentException("the table needs room for at least one entry");
        }
    }
}
