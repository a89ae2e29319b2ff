package org.carawaysill.policy.membership;

import java.time.Duration;

/**
 * Configures heartbeats, suspicion timeouts and reads of the list of VMs.
 *
 * <p>Immutable and thread safe.
 *
 * @param interval the longest time without a message to a node of this node's service
 * @param intervalBetweenServices the longest time without a message to a node of another service
 * @param timeout the silence after which a node of this node's service is suspected
 * @param timeoutBetweenServices the silence after which a node of another service is suspected
 * @param vmListInterval the shortest time between two reads of the list of VMs
 */
public record MembershipSettings(
        Duration interval,
        Duration intervalBetweenServices,
        Duration timeout,
        Duration timeoutBetweenServices,
        Duration vmListInterval) {

    /** The default settings; the decision records give the reasons for them. */
    public static final MembershipSettings DEFAULT = builder().build();

    /**
     * Creates a builder that starts from the default settings.
     *
     * @return a builder
     */
    public static Builder builder() {
        return new Builder();
    }

    /** Builds settings. Not thread safe. */
    public static final class Builder {

        private Duration interval = Duration.ofSeconds(1);
        private Duration intervalBetweenServices = Duration.ofSeconds(3);
        private Duration timeout = Duration.ofMillis(2_500);
        private Duration timeoutBetweenServices = Duration.ofMillis(7_500);
        private Duration vmListInterval = Duration.ofSeconds(2);

        private Builder() {}

        /**
         * Sets the interval and the timeout for nodes of this node's service.
         *
         * @param maximumSilence the longest time in which a running node sends no message
         * @param suspicionTimeout the silence after which a node is suspected
         * @return this builder
         */
        public Builder ownService(Duration maximumSilence, Duration suspicionTimeout) {
            interval = maximumSilence;
            timeout = suspicionTimeout;
            return this;
        }

        /**
         * Sets the interval and the timeout for nodes of other services.
         *
         * @param maximumSilence the longest time in which a running node sends no message
         * @param suspicionTimeout the silence after which a node is suspected
         * @return this builder
         */
        public Builder otherServices(Duration maximumSilence, Duration suspicionTimeout) {
            intervalBetweenServices = maximumSilence;
            timeoutBetweenServices = suspicionTimeout;
            return this;
        }

        /**
         * Sets the shortest time between two reads of the list of VMs. A longer list is read less often.
         *
         * @param duration the shortest time between two reads
         * @return this builder
         */
        public Builder vmListInterval(Duration duration) {
            vmListInterval = duration;
            return this;
        }

        /**
         * Builds the settings.
         *
         * @return the settings
         */
        public MembershipSettings build() {
            return new MembershipSettings(
                    interval, intervalBetweenServices, timeout, timeoutBetweenServices, vmListInterval);
        }
    }
}
