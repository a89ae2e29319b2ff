package org.carawaysill.model.fleet;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.carawaysill.model.identity.ServiceName;

/**
 * One version of the operators' configuration of a whole fleet.
 *
 * <p>Immutable and thread safe.
 *
 * @param version the version number, which increases with each publication
 * @param limits the limits on what clients send
 * @param services all configured services; copies of other services get no requests
 * @param routes all routes
 * @param organisations the organisations that may send requests on routes that require a key; empty if keys are not
 *     checked
 */
public record FleetConfiguration(
        long version,
        ClientLimits limits,
        Set<ServiceName> services,
        List<Route> routes,
        Optional<Organisations> organisations) {

    public FleetConfiguration {
        services = Set.copyOf(services);
        routes = List.copyOf(routes);
    }
}
