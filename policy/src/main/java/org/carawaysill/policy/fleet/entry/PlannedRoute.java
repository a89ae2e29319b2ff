package org.carawaysill.policy.fleet.entry;

import java.util.Map;
import org.carawaysill.model.identity.ServiceName;

/**
 * A route in the making of a plan, with the share of its requests that is let in so far.
 *
 * <p>Invariant: the share is 0 to 1 and never falls. Not thread safe: lives as long as one plan is made.
 */
final class PlannedRoute {

    private final String name;
    private final double offered;
    private final Map<ServiceName, Double> costs;
    private double share;

    /**
     * Begins with nothing let in.
     *
     * @param name the route's name
     * @param offered requests a second in the whole fleet, more than 0
     * @param costs seconds of a slot that one request takes, by service; empty where they are not known
     */
    PlannedRoute(String name, double offered, Map<ServiceName, Double> costs) {
        this.name = name;
        this.offered = offered;
        this.costs = costs;
    }

    String name() {
        return name;
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
