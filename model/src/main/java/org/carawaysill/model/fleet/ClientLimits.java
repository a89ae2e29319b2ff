package org.carawaysill.model.fleet;

import java.time.Duration;

/**
 * Limits on the size and duration of what a client sends.
 *
 * <p>Invariant: all positive. Immutable and thread safe.
 *
 * @param headerBytes the maximum size of a request head
 * @param bodyBytes the maximum size of a request body
 * @param headerTimeout how long a request head may take to arrive, from its first byte
 * @param idleTimeout how long a connection may stay without a request
 */
public record ClientLimits(int headerBytes, long bodyBytes, Duration headerTimeout, Duration idleTimeout) {

    /** The limits in force until a configuration is known; common values of HTTP servers. */
    public static final ClientLimits DEFAULTS =
            new ClientLimits(16 * 1024, 1024 * 1024, Duration.ofSeconds(5), Duration.ofSeconds(30));

    public ClientLimits {
        if (headerBytes < 1 || bodyBytes < 1 || !headerTimeout.isPositive() || !idleTimeout.isPositive()) {
            throw new IllegalArgumentException("client limits must be positive");
        }
    }
}
