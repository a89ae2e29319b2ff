package org.carawaysill.load.client;

import java.time.Duration;

/**
 * Timeout and retry settings of clients.
 *
 * <p>Immutable and thread safe.
 *
 * @param tries the maximum number of times that a client sends one request
 * @param tryTimeout how long a client waits for the answer to one try
 * @param minimumRetryDelay the minimum delay before the next try
 * @param maximumRetryDelay the maximum delay before the next try
 * @param retryAfterShare the share of clients that honour the retry delay in a refusal, from 0 to 1
 */
public record ClientSettings(
        int tries,
        Duration tryTimeout,
        Duration minimumRetryDelay,
        Duration maximumRetryDelay,
        double retryAfterShare) {

    /**
     * Returns the settings of clients that retry aggressively: four tries at different nodes, with a delay of about 100
     * milliseconds, ignoring the retry delay in a refusal.
     *
     * @return the settings
     */
    public static ClientSettings impatient() {
        return new ClientSettings(4, Duration.ofSeconds(2), Duration.ofMillis(50), Duration.ofMillis(150), 0);
    }

    /**
     * Returns the same settings with another number of tries.
     *
     * @param most the maximum number of times that a client sends one request
     * @return the settings
     */
    public ClientSettings withTries(int most) {
        return new ClientSettings(most, tryTimeout, minimumRetryDelay, maximumRetryDelay, retryAfterShare);
    }

    /**
     * Returns the same settings with another share of clients that honour the retry delay in a refusal.
     *
     * @param share the share of clients that honour the retry delay in a refusal, from 0 to 1
     * @return the settings
     */
    public ClientSettings withRetryAfterShare(double share) {
        return new ClientSettings(tries, tryTimeout, minimumRetryDelay, maximumRetryDelay, share);
    }
}
