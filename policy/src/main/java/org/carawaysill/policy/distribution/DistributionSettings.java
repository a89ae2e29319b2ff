package org.carawaysill.policy.distribution;

import java.time.Duration;

/**
 * The settings for distributing configuration documents.
 *
 * <p>Immutable and thread safe.
 *
 * @param readersPerService the number of nodes of a service that watch a document at the platform
 * @param maximumWait how long the platform may keep a watch open
 * @param auditInterval the mean interval between reads of a service's document by nodes of the service that don't watch
 *     it
 * @param fleetReadsPerSecond the limit of the fleet's total reads at the platform when every node reads for itself
 * @param startTimeout how long a starting node waits for the answers of all other nodes before a majority suffices
 */
public record DistributionSettings(
        int readersPerService,
        Duration maximumWait,
        Duration auditInterval,
        int fleetReadsPerSecond,
        Duration startTimeout) {

    /** The default settings, whose reasons are in the decision record. */
    public static final DistributionSettings DEFAULT = builder().build();

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

        private int readersPerService = 2;
        private Duration maximumWait = Duration.ofSeconds(30);
        private Duration auditInterval = Duration.ofSeconds(5);
        private int fleetReadsPerSecond = 800;
        private Duration startTimeout = Duration.ofSeconds(3);

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
         * Sets how long a watch lasts.
         *
         * @param duration the time for which the platform may keep it open
         * @return this builder
         */
        public Builder maximumWait(Duration duration) {
            maximumWait = duration;
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
         * Sets the limit of reads when every node reads for itself.
         *
         * @param reads the reads per second of the whole fleet
         * @return this builder
         */
        public Builder fleetReadsPerSecond(int reads) {
            fleetReadsPerSecond = reads;
            return this;
        }

        /**
         * Sets how long a starting node waits for the answers of all other nodes.
         *
         * @param duration the time after which a majority of answers suffices
         * @return this builder
         */
        public Builder startTimeout(Duration duration) {
            startTimeout = duration;
            return this;
        }

        /**
         * Builds the settings.
         *
         * @return the settings
         */
        public DistributionSettings build() {
            return new DistributionSettings(
                    readersPerService, maximumWait, auditInterval, fleetReadsPerSecond, startTimeout);
        }
    }
}
