package org.carawaysill.policy.distribution;

import java.time.Duration;

/**
 * How a node gets its configuration.
 *
 * <p>Immutable and thread safe.
 *
 * @param patience how long the platform may hold a watch open
 * @param startingBound how long a starting node waits for the answers of all others before a majority is enough
 */
public record DistributionSettings(Duration patience, Duration startingBound) {

    /** The settings that the decision record argues for. */
    public static final DistributionSettings DEFAULT =
            new DistributionSettings(Duration.ofSeconds(30), Duration.ofSeconds(3));
}
