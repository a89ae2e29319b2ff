package org.carawaysill.policy.distribution;

import java.time.Duration;

/**
 * How a node gets its configuration.
 *
 * <p>Immutable and thread safe.
 *
 * @param readersPerService how many nodes of a service watch a document at the platform
 * @param patience how long the platform may hold a watch open
 * @param auditInterval how often some node of a service that doesn't watch reads the service's document
 * @param fleetReadsPerSecond the reads at the platform that the fleet may reach when every node reads for itself
 * @param startingBound how long a starting node waits for the answers of all others before a majority is enough
 */
public record DistributionSettings(
        int readersPerService,
        Duration patience,
        Duration auditInterval,
        int fleetReadsPerSecond,
        Duration startingBound) {

    /** The settings that the decision record argues for. */
    public static final DistributionSettings DEFAULT = builder().build();

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

        private int readersPerService = 2;
        private Duration patience = Duration.ofSeconds(30);
        private Duration auditInterval = Duration.ofSeconds(5);
        private int fleetReadsPerSecond = 800;
        private Duration startingBound = Duration.ofSeconds(3);

        private Builder() {}

        /**
         * Sets the number of watching nodes.
         *
         * @param count nodes per service and document, at least 1
         * @return this builder
         */
        public Builder readersPerService(int count) {
            readersPerService = count;
            return this;
        }

        /**
         * Sets the length of a watch.
         *
         * @param duration the time that the platform may hold it open
         * @return this builder
         */
        public Builder patience(Duration duration) {
            patience = duration;
            return this;
        }

        /**
         * Sets the interval of audits.
         *
         * @param duration the mean time between two audits of one service
         * @return this builder
         */
        public Builder auditInterval(Duration duration) {
            auditInterval = duration;
            return this;
        }

        /**
         * Sets the bound of reads when every node reads for itself.
         *
         * @param reads reads per second over the whole fleet
         * @return this builder
         */
        public Builder fleetReadsPerSecond(int reads) {
            fleetReadsPerSecond = reads;
            return this;
        }

        /**
         * Sets the wait of a starting node.
         *
         * @param duration the time after which a majority of answers is enough
         * @return this builder
         */
        public Builder startingBound(Duration duration) {
            startingBound = duration;
            return this;
        }

        /**
         * Finishes.
         *
         * @return the settings
         */
        public DistributionSettings build() {
            return new DistributionSettings(
                    readersPerService, patience, auditInterval, fleetReadsPerSecond, startingBound);
        }
    }
}
