package org.carawaysill.node.exchange;

import java.time.Duration;

/**
 * Limits of the number of connections to one HTTP server, and of the time that they may occupy it.
 *
 * <p>Immutable and thread safe.
 *
 * @param connections how many may be open
 * @param header how long the first request's header may take
 * @param idle how long the next request's header may take
 * @param body how long a request's body may take
 * @param write how long the client may take to read an answer
 */
public record ConnectionLimits(int connections, Duration header, Duration idle, Duration body, Duration write) {

    /** The limits of a node, which allows more connections than any copy of the present sites accepts. */
    public static final ConnectionLimits DEFAULTS = new ConnectionLimits(
            2048, Duration.ofSeconds(10), Duration.ofSeconds(75), Duration.ofSeconds(30), Duration.ofSeconds(30));
}
