package org.carawaysill.protocol.link;

import java.time.Duration;

/**
 * The limits that a {@link PeerLink} enforces.
 *
 * <p>Invariant: all positive, and the shortest delay before a new dial is not above the longest. Immutable and thread
 * safe.
 *
 * @param maximumFrameBytes the largest frame, either way
 * @param highWaterMarkBytes the number of bytes pending for one peer above which further messages to it are reported as
 *     unsent
 * @param socketBufferBytes the requested size of the operating system's socket buffers, for each direction
 * @param ringCapacity messages that may wait for the event loop; a power of two
 * @param maximumUnknown how many accepted connections may be open whose other side has not said who it is
 * @param connectLimit how long a dial may take
 * @param greetingLimit how long the handshake may take
 * @param drainLimit how long a frame may wait to be written before its peer counts as a slow reader
 * @param probeLimit how long a peer may take to reply to a probe, which is sent when a second connection claims its
 *     name
 * @param closingLimit how long an orderly close may take
 * @param shortestRedial the first delay before dialling again
 * @param longestRedial the upper limit of the delay after repeated failures
 */
public record LinkLimits(
        int maximumFrameBytes,
        int highWaterMarkBytes,
        int socketBufferBytes,
        int ringCapacity,
        int maximumUnknown,
        Duration connectLimit,
        Duration greetingLimit,
        Duration drainLimit,
        Duration probeLimit,
        Duration closingLimit,
        Duration shortestRedial,
        Duration longestRedial) {

    private static final int MEBIBYTE = 1024 * 1024;
    private static final int KIBIBYTE = 1024;

    public LinkLimits {
        requirePositive("maximumFrameBytes", maximumFrameBytes);
        requirePositive("highWaterMarkBytes", highWaterMarkBytes);
        requirePositive("socketBufferBytes", socketBufferBytes);
        requirePositive("ringCapacity", ringCapacity);
        requirePositive("maximumUnknown", maximumUnknown);
        requirePositive("connectLimit", connectLimit.toMillis());
        requirePositive("greetingLimit", greetingLimit.toMillis());
        requirePositive("drainLimit", drainLimit.toMillis());
        requirePositive("probeLimit", probeLimit.toMillis());
        requirePositive("closingLimit", closingLimit.toMillis());
        requirePositive("shortestRedial", shortestRedial.toMillis());
        requirePositive("longestRedial", longestRedial.minus(shortestRedial).toMillis() + 1);
    }

    /**
     * Creates a builder with the default limits.
     *
     * @return a builder
     */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Returns the default limits.
     *
     * @return the limits
     */
    public static LinkLimits defaults() {
        return builder().build();
    }

    private static void requirePositive(String name, long value) {
        if (value <= 0) {
            throw new IllegalArgumentException(name + " is out of range");
        }
    }

    /** Builds limits; values that are not set keep their defaults. Not thread safe. */
    public static final class Builder {

        private int maximumFrameBytes = 2 * MEBIBYTE;
        private int highWaterMarkBytes = 2 * MEBIBYTE;
        private int socketBufferBytes = 256 * KIBIBYTE;
        private int ringCapacity = 8192;
        private int maximumUnknown = 512;
        private Duration connectLimit = Duration.ofSeconds(2);
        private Duration greetingLimit = Duration.ofSeconds(3);
        private Duration drainLimit = Duration.ofSeconds(5);
        private Duration probeLimit = Duration.ofSeconds(1);
        private Duration closingLimit = Duration.ofMillis(500);
        private Duration shortestRedial = Duration.ofMillis(50);
        private Duration longestRedial = Duration.ofSeconds(2);

        private Builder() {}

        /**
         * Sets the largest frame.
         *
         * @param bytes the size in bytes
         * @return this builder
         */
        public Builder maximumFrameBytes(int bytes) {
            maximumFrameBytes = bytes;
            return this;
        }

        /**
         * Sets how many bytes may be pending for one peer.
         *
         * @param bytes the size in bytes
         * @return this builder
         */
        public Builder highWaterMarkBytes(int bytes) {
            highWaterMarkBytes = bytes;
            return this;
        }

        /**
         * Sets the requested size of the operating system's socket buffers.
         *
         * @param bytes the size in bytes
         * @return this builder
         */
        public Builder socketBufferBytes(int bytes) {
            socketBufferBytes = bytes;
            return this;
        }

        /**
         * Sets how many messages may wait for the event loop.
         *
         * @param messages the number, rounded up to a power of two
         * @return this builder
         */
        public Builder ringCapacity(int messages) {
            ringCapacity = messages;
            return this;
        }

        /**
         * Sets how many accepted connections may be open whose other side has not said who it is.
         *
         * @param connections the number
         * @return this builder
         */
        public Builder maximumUnknown(int connections) {
            maximumUnknown = connections;
            return this;
        }

        /**
         * Sets how long a dial may take.
         *
         * @param limit the limit
         * @return this builder
         */
        public Builder connectLimit(Duration limit) {
            connectLimit = limit;
            return this;
        }

        /**
         * Sets how long the handshake may take.
         *
         * @param limit the limit
         * @return this builder
         */
        public Builder greetingLimit(Duration limit) {
            greetingLimit = limit;
            return this;
        }

        /**
         * Sets how long a frame may wait to be written.
         *
         * @param limit the limit
         * @return this builder
         */
        public Builder drainLimit(Duration limit) {
            drainLimit = limit;
            return this;
        }

        /**
         * Sets how long a peer may take to reply to a probe.
         *
         * @param limit the limit
         * @return this builder
         */
        public Builder probeLimit(Duration limit) {
            probeLimit = limit;
            return this;
        }

        /**
         * Sets how long an orderly close may take.
         *
         * @param limit the limit
         * @return this builder
         */
        public Builder closingLimit(Duration limit) {
            closingLimit = limit;
            return this;
        }

        /**
         * Sets the bounds of the delay before dialling again.
         *
         * @param shortest the first delay
         * @param longest the upper limit of the delay after repeated failures
         * @return this builder
         */
        public Builder redial(Duration shortest, Duration longest) {
            shortestRedial = shortest;
            longestRedial = longest;
            return this;
        }

        /**
         * Builds the limits.
         *
         * @return the limits
         * @throws IllegalArgumentException if one is out of range
         */
        public LinkLimits build() {
            return new LinkLimits(
                    maximumFrameBytes,
                    highWaterMarkBytes,
                    socketBufferBytes,
                    ringCapacity,
                    maximumUnknown,
                    connectLimit,
                    greetingLimit,
                    drainLimit,
                    probeLimit,
                    closingLimit,
                    shortestRedial,
                    longestRedial);
        }
    }
}
