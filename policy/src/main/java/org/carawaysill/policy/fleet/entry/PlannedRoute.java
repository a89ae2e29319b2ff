package org.carawaysill.policy.fleet.entry;

import java.util.Map;
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
    private double share;

    /**
     * Creates an entry with a share of 0.
     *
     * @param key the route, and the rank of the requesting organisations
     * @param offered requests a second in the whole fleet, more than 0
     * @param costs the slot seconds that one request takes, by service; empty while unknown
     */
    PlannedRoute(DemandKey key, double offered, Map<ServiceName, Double> costs) {
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

    double share() {
        return share;
    }

    void raise(double by) {
        share = Math.min(1, share + by);
    }
}
