package org.carawaysill.node.exchange;

import java.time.Duration;

/**
 * How long and how many connections may hold a place at one HTTP server.
 *
 * <p>Immutable and thread safe.
 *
 * @param connections how many may be open
 * @param header how long the first request's header may take
 * @param idle how long the next request's header may take
 * @param body how long a request's body may take
 * @param write how long the reading of an answer may take
 */
public record ConnectionLimits(int connections, Duration header, Duration idle, Duration body, Duration write) {

    /** What holds in a node: more connections than any copy of today's sites accepts. */
    public static final ConnectionLimits DEFAULTS = new ConnectionLimits(
            2048, Duration.ofSeconds(10), Duration.ofSeconds(75), Duration.ofSeconds(30), Duration.ofSeconds(30));
}
