package org.carawaysill.model.fleet;

import java.time.Duration;

/**
 * What a client may send, and how long it may take.
 *
 * <p>Invariant: all positive. Immutable and thread safe.
 *
 * @param headerBytes the largest request head
 * @param bodyBytes the largest request body
 * @param headerTimeout how long a request head may take to arrive, from its first byte
 * @param idleTimeout how long a connection may stay without a request
 */
public record ClientLimits(int headerBytes, long bodyBytes, Duration headerTimeout, Duration idleTimeout) {

    /** In force until a configuration is known; common values of HTTP servers. */
    public static final ClientLimits DEFAULTS =
            new ClientLimits(16 * 1024, 1024 * 1024, Duration.ofSeconds(5), Duration.ofSeconds(30));

    public ClientLimits {
        if (headerBytes < 1 || bodyBytes < 1 || !headerTimeout.isPositive() || !idleTimeout.isPositive()) {
            throw new IllegalArgumentException("limits of clients must be positive");
        }
    }
}
