package org.carawaysill.policy.routing;

import java.time.Duration;

/**
 * The settings for choosing copies.
 *
 * <p>Immutable and thread safe.
 *
 * @param copiesPerService the number of copies of a called service to which a node keeps connections
 * @param copiesPerZone the minimum number of those in each availability zone, if there are that many and they fit
 * @param zoneCost the additional delay assumed for a request to another availability zone; zero prefers no zone
 * @param rampUp the time over which a newly usable copy reaches its full share
 * @param failureBackoff how long a copy is avoided after a failure; doubles with each further failure
 */
public record RoutingSettings(
        int copiesPerService, int copiesPerZone, Duration zoneCost, Duration rampUp, Duration failureBackoff) {

    /** The default settings, whose reasons are in the decision record. */
    public static final RoutingSettings DEFAULT = builder().build();

    /**
     * Returns a builder with the default settings, whose reasons are in the decision record.
     *
     * @return a builder
     */
    public static Builder builder() {
        return new Builder();
    }

    /** Collects settings. Not thread safe. */
    public static final class Builder {

        private int copiesPerService = 8;
        private int copiesPerZone = 2;
        private Duration zoneCost = Duration.ofNanos(3_000_000);
        private Duration rampUp = Duration.ofSeconds(5);
        private Duration failureBackoff = Duration.ofMillis(500);

        private Builder() {}

        /**
         * Sets the size of the subset.
         *
         * @param perService copies of one service
         * @param perZone copies of one service in one availability zone, at least
         * @return this builder
         */
        public Builder copies(int perService, int perZone) {
            copiesPerService = perService;
            copiesPerZone = perZone;
            return this;
        }

        /**
         * Sets the cost of another availability zone.
         *
         * @param cost the round-trip time
         * @return this builder
         */
        public Builder zoneCost(Duration cost) {
            zoneCost = cost;
            return this;
        }

        /**
         * Sets how fast a newly usable copy reaches its full share.
         *
         * @param duration the time until it does
         * @return this builder
         */
        public Builder rampUp(Duration duration) {
            rampUp = duration;
            return this;
        }

        /**
         * Sets how long a copy is avoided after its first failure.
         *
         * @param duration the time
         * @return this builder
         */
        public Builder failureBackoff(Duration duration) {
            failureBackoff = duration;
            return this;
        }

        /**
         * Builds the settings.
         *
         * @return the settings
         */
        public RoutingSettings build() {
            return new RoutingSettings(copiesPerService, copiesPerZone, zoneCost, rampUp, failureBackoff);
        }
    }
}
