package org.carawaysill.model.fleet;

import org.carawaysill.model.identity.ServiceName;

/**
 * A service to which a route sends a share of its requests.
 *
 * <p>Invariant: the weight is not negative. Immutable and thread safe.
 *
 * @param service the service
 * @param weight its share, relative to the weights of the route's other destinations
 */
public record Destination(ServiceName service, int weight) {

    public Destination {
        if (weight < 0) {
            throw new IllegalArgumentException("a weight must not be negative");
        }
    }
}
