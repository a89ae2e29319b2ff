package org.carawaysill.policy.fleet.entry;

import java.util.List;
import java.util.Map;
import org.carawaysill.model.fleet.Destination;
import org.carawaysill.model.identity.ServiceName;

/**
 * The requests for one route from organisations of one rank, while a plan is computed, with the share of them that is
 * admitted so far.
 *
 * <p>Invariant: the share is 0 to 1 and never falls. Not thread safe: used while one plan is computed.
 */
final class PlannedRoute {

    private final DemandKey key;
    private final double offered;
    private final Map<ServiceName, Double> costs;
    private final List<Destination> destinations;
    private double share;
    private double limit = 1;

    /**
     * Creates an entry with a share of 0.
     *
     * @param key the route, and the rank of the requesting organisations
     * @param offered requests a second in the whole fleet, more than 0
     * @param costs the slot seconds that one request takes, by service; empty while unknown
     * @param destinations the services that its requests are for
     */
    PlannedRoute(DemandKey key, double offered, Map<ServiceName, Double> costs, List<Destination> destinations) {
        this.destinations = destinations;
        this.key = key;
        this.offered = offered;
        this.costs = costs;
    }

    DemandKey key() {
        return key;
    }

    double offered() {
        return offered;
    }

    Map<ServiceName, Double> costs() {
        return costs;
    }

    /** Returns whether requests of the route are for a service itself, not only calls made on their behalf. */
    boolean isFor(ServiceName service) {
        for (Destination destination : destinations) {
            if (destination.service().equals(service)) {
                return true;
            }
        }
        return false;
    }

    double share() {
        return share;
    }

    /** Returns the greatest share that may be admitted. */
    double limit() {
        return limit;
    }

    void limit(double greatestShare) {
        limit = greatestShare;
    }

    void raise(double by) {
        share = Math.min(1, share + by);
    }
}
