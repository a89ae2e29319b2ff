package org.carawaysill.policy.routing;

import java.time.Duration;

/**
 * How a node chooses copies.
 *
 * <p>Immutable and thread safe.
 *
 * @param copiesPerService how many copies of a called service a node keeps connections to
 * @param copiesPerZone how many of those, at least, in each availability zone, where there are that many and they fit
 * @param zoneCost what a request to another availability zone costs, in time; zero prefers no zone
 * @param rampUp the time over which a newly usable copy comes to its full share
 * @param failureBackoff how long a copy is avoided after a failure; doubles with each further one
 */
public record RoutingSettings(
        int copiesPerService, int copiesPerZone, Duration zoneCost, Duration rampUp, Duration failureBackoff) {

    /** The settings that the decision record argues for. */
    public static final RoutingSettings DEFAULT = builder().build();

    /**
     * Starts from the settings that the decision record argues for.
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
         * Sets the price of another availability zone.
         *
         * @param cost the time there and back
         * @return this builder
         */
        public Builder zoneCost(Duration cost) {
            zoneCost = cost;
            return this;
        }

        /**
         * Sets how fast a newly usable copy comes to its full share.
         *
         * @param duration the time until then
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
         * Finishes.
         *
         * @return the settings
         */
        public RoutingSettings build() {
            return new RoutingSettings(copiesPerService, copiesPerZone, zoneCost, rampUp, failureBackoff);
        }
    }
}
