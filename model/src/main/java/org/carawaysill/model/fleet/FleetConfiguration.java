package org.carawaysill.model.fleet;

import java.util.List;

/**
 * The operators' configuration of a whole fleet, in one version.
 *
 * <p>Immutable and thread safe.
 *
 * @param version rises with each publication
 * @param limits what clients may send
 * @param routes all routes
 */
public record FleetConfiguration(long version, ClientLimits limits, List<Route> routes) {

    public FleetConfiguration {
        routes = List.copyOf(routes);
    }
}
