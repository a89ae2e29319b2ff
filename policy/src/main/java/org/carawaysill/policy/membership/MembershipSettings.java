package org.carawaysill.policy.membership;

import java.time.Duration;

/**
 * How a node watches others.
 *
 * <p>Immutable and thread safe.
 *
 * @param interval the longest silence towards a node of the own service
 * @param intervalBetweenServices the longest silence towards a node of another service
 * @param timeout the silence after which a node of the own service is suspected
 * @param timeoutBetweenServices the silence after which a node of another service is suspected
 * @param vmListInterval the shortest time between two reads of the list of VMs
 */
public record MembershipSettings(
        Duration interval,
        Duration intervalBetweenServices,
        Duration timeout,
        Duration timeoutBetweenServices,
        Duration vmListInterval) {

    /** The settings that the decision records argue for. */
    public static final MembershipSettings DEFAULT = builder().build();

    /**
     * Starts from the settings that the decision records argue for.
     *
     * @return a builder
     */
    public static Builder builder() {
        return new Builder();
    }

    /** Collects settings. Not thread safe. */
    public static final class Builder {

        private Duration interval = Duration.ofSeconds(1);
        private Duration intervalBetweenServices = Duration.ofSeconds(3);
        private Duration timeout = Duration.ofMillis(2_500);
        private Duration timeoutBetweenServices = Duration.ofMillis(7_500);
        private Duration vmListInterval = Duration.ofSeconds(2);

        private Builder() {}

        /**
         * Sets how a node of the own service is watched.
         *
         * @param silence the longest silence of a living node
         * @param suspicion the silence after which it is suspected
         * @return this builder
         */
        public Builder ownService(Duration silence, Duration suspicion) {
            interval = silence;
            timeout = suspicion;
            return this;
        }

        /**
         * Sets how a node of another service is watched.
         *
         * @param silence the longest silence of a living node
         * @param suspicion the silence after which it is suspected
         * @return this builder
         */
        public Builder otherServices(Duration silence, Duration suspicion) {
            intervalBetweenServices = silence;
            timeoutBetweenServices = suspicion;
            return this;
        }

        /**
         * Sets how often the list of VMs is read while it is short.
         *
         * @param duration the time between two reads
         * @return this builder
         */
        public Builder vmListInterval(Duration duration) {
            vmListInterval = duration;
            return this;
        }

        /**
         * Finishes.
         *
         * @return the settings
         */
        public MembershipSettings build() {
            return new MembershipSettings(
                    interval, intervalBetweenServices, timeout, timeoutBetweenServices, vmListInterval);
        }
    }
}
