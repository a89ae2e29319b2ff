package org.carawaysill.load.client;

import java.time.Duration;

/**
 * How patient clients are.
 *
 * <p>Immutable and thread safe.
 *
 * @param tries how often a client sends one request at most
 * @param tryTimeout how long it waits for the answer to one try
 * @param minimumRetryDelay the shortest pause before the next try
 * @param maximumRetryDelay the longest pause before the next try
 * @param retryAfterShare the share of clients that wait as long as a refusal asks them to, from 0 to 1
 */
public record ClientSettings(
        int tries,
        Duration tryTimeout,
        Duration minimumRetryDelay,
        Duration maximumRetryDelay,
        double retryAfterShare) {

    /**
     * Gives clients that retry hard: four tries, each at another node, with a pause of a tenth of a second, and no
     * regard for what a refusal asks.
     *
     * @return the settings
     */
    public static ClientSettings impatient() {
        return new ClientSettings(4, Duration.ofSeconds(2), Duration.ofMillis(50), Duration.ofMillis(150), 0);
    }

    /**
     * Gives the same clients with another number of tries.
     *
     * @param most how often a client sends one request at most
     * @return the settings
     */
    public ClientSettings withTries(int most) {
        return new ClientSettings(most, tryTimeout, minimumRetryDelay, maximumRetryDelay, retryAfterShare);
    }

    /**
     * Gives the same clients with another regard for what a refusal asks.
     *
     * @param share the share of clients that wait as long as a refusal asks them to, from 0 to 1
     * @return the settings
     */
    public ClientSettings withRetryAfterShare(double share) {
        return new ClientSettings(tries, tryTimeout, minimumRetryDelay, maximumRetryDelay, share);
    }
}
