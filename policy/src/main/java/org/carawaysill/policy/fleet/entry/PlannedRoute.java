package org.carawaysill.policy.fleet.entry;

import java.util.Map;
import org.carawaysill.model.identity.ServiceName;

/**
 * A route, as organisations of one rank ask for it, in the making of a plan, with the share of its requests that is admitted so far.
 *
 * <p>Invariant: the share is 0 to 1 and never falls. Not thread safe: lives as long as one plan is made.
 */
final class PlannedRoute {

    private final DemandKey key;
    private final double offered;
    private final Map<ServiceName, Double> costs;
    private double share;

    /**
     * Begins with nothing let in.
     *
     * @param key the route, and the rank of the organisations that ask
     * @param offered requests a second in the whole fleet, more than 0
     * @param costs seconds of a slot that one request takes, by service; empty where they are not known
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
