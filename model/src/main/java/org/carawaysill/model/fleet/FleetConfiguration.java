package org.carawaysill.model.fleet;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.carawaysill.model.identity.ServiceName;

/**
 * The operators' configuration of a whole fleet, in one version.
 *
 * <p>Immutable and thread safe.
 *
 * @param version rises with each publication
 * @param limits what clients may send
 * @param services all services that it names; a copy of any other one gets no work
 * @param routes all routes
 * @param organisations who may send requests on routes that require a key; empty where no keys are checked
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
