package org.carawaysill.policy.fleet.entry;

import java.util.HashMap;
import java.util.Map;
import org.carawaysill.model.identity.ServiceName;

/**
 * What one request of a route costs at each service, in slots for a second, learned from what the fleet uses.
 *
 * <p>The cost is the slots in use for the route over its completed requests a second. So it counts all calls that the
 * request causes, at any depth, without knowing them; and work that leads to nothing makes the route dearer, which lets
 * less of it in until none is wasted. Not thread safe: owned by the policy.
 */
final class RouteCosts {

    /** The weight of one look at the fleet; at four looks a second the last second counts for two thirds. */
    private static final double LOOK_WEIGHT = 0.25;

    /** Guards against a cost without bound where nothing completes: so much of what is offered counts as completed. */
    private static final double LEAST_COMPLETED_SHARE = 0.1;

    /** Below so many requests a second the quotient says little, and an earlier cost stays. */
    private static final double LEAST_RATE = 0.5;

    private final Map<String, Map<ServiceName, Double>> costs = new HashMap<>();

    void learn(FleetDemand demand) {
        demand.routes().forEach(route -> {
            double completed = Math.max(demand.completed(route), LEAST_COMPLETED_SHARE * demand.offered(route));
            if (completed >= LEAST_RATE) {
                learn(route, completed, demand);
            }
        });
    }

    private void learn(String route, double completed, FleetDemand demand) {
        Map<ServiceName, Double> known = costs.computeIfAbsent(route, _ -> new HashMap<>());
        for (ServiceName service : demand.services()) {
            double seen = demand.used(route, service) / completed;
            double before = known.getOrDefault(service, seen);
            known.put(service, before + LOOK_WEIGHT * (seen - before));
        }
    }

    Map<ServiceName, Double> of(String route) {
        return costs.getOrDefault(route, Map.of());
    }
}
