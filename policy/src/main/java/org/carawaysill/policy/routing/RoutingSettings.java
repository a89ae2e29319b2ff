package org.carawaysill.policy.routing;

import java.time.Duration;

/**
 * How a node chooses copies.
 *
 * <p>Immutable and thread safe.
 *
 * @param copiesPerService how many copies of a called service a node keeps connections to
 * @param failureBackoff how long a copy is avoided after a failure
 */
public record RoutingSettings(int copiesPerService, Duration failureBackoff) {

    /** The settings that the decision record argues for. */
    public static final RoutingSettings DEFAULT = new RoutingSettings(8, Duration.ofMillis(500));
}
