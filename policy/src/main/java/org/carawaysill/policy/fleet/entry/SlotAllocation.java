package org.carawaysill.policy.fleet.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.carawaysill.model.identity.ServiceName;

/**
 * The planned slots of each service, as they are allocated to routes.
 *
 * <p>Invariant: no service allocates more than it has, except for rounding. Not thread safe: used while one plan is
 * computed.
 */
final class SlotAllocation {

    /**
     * Shares and slots that differ by less than this part count as equal, which covers the rounding errors of sums of
     * some hundred fractions.
     */
    private static final double ROUNDING = 1e-6;

    /**
     * The cost of a request that needs no slot of any service with capacity: far less than that of any request that
     * needs one.
     */
    private static final double MINIMUM_COST = 1e-6;

    private final Map<ServiceName, Double> planned = new HashMap<>();
    private final Map<ServiceName, Double> remaining = new HashMap<>();

    void add(ServiceName service, double slots) {
        planned.put(service, slots);
        remaining.put(service, slots);
    }

    /** Returns whether all planned slots of a service are allocated, so that it rejects requests. */
    boolean isFull(ServiceName service) {
        return planned.containsKey(service) && free(service, 0) <= ROUNDING * planned.getOrDefault(service, 0.0);
    }

    /**
     * Raises the shares of routes together until each reaches its maximum or a service that it needs is full.
     *
     * <p>A route's share rises the slower, the larger the part of any service's slots is that one of its requests
     * takes, so that each route receives as many slots as the others. With equal shares, a route with expensive
     * requests would displace several times as many cheap ones; with the cheap ones first, the expensive ones would
     * hardly be served at all.
     *
     * @param routes the routes, whose shares are raised
     * @param maximumShare the share up to which they rise, 0 to 1
     * @param part the part of each service's slots that may be allocated, including earlier allocations, 0 to 1
     */
    void fill(List<PlannedRoute> routes, double maximumShare, double part) {
        List<PlannedRoute> rising = new ArrayList<>(routes);
        // Each round takes at least one route out of the rising ones.
        for (int rounds = routes.size(); rounds > 0; rounds--) {
            rising.removeIf(route -> route.share() >= maximumShare - ROUNDING || isBlocked(route, part));
            raiseShares(rising, maximumShare, part);
        }
    }

    private boolean isBlocked(PlannedRoute route, double part) {
        return route.costs().entrySet().stream()
                .anyMatch(cost -> cost.getValue() > 0
                        && free(cost.getKey(), 1 - part) <= ROUNDING * planned.getOrDefault(cost.getKey(), 0.0));
    }

    private double free(ServiceName service, double reservedPart) {
        return remaining.getOrDefault(service, 0.0) - reservedPart * planned.getOrDefault(service, 0.0);
    }

    private void raiseShares(List<PlannedRoute> rising, double maximumShare, double part) {
        Map<ServiceName, Double> use = new HashMap<>();
        double step = Double.MAX_VALUE;
        for (PlannedRoute route : rising) {
            double growthRate = growthRate(route);
            step = Math.min(step, (maximumShare - route.share()) / growthRate);
            route.costs()
                    .forEach((service, cost) -> use.merge(service, growthRate * route.offered() * cost, Double::sum));
        }
        for (Map.Entry<ServiceName, Double> each : use.entrySet()) {
            if (each.getValue() > 0) {
                step = Math.min(step, Math.max(0, free(each.getKey(), 1 - part)) / each.getValue());
            }
        }
        for (PlannedRoute route : rising) {
            route.raise(step * growthRate(route));
        }
        double taken = step;
        use.forEach((service, each) -> remaining.merge(service, -taken * each, Double::sum));
    }

    private double growthRate(PlannedRoute route) {
        double highestCost = MINIMUM_COST;
        for (Map.Entry<ServiceName, Double> cost : route.costs().entrySet()) {
            double slots = planned.getOrDefault(cost.getKey(), 0.0);
            if (slots > 0) {
                highestCost = Math.max(highestCost, cost.getValue() / slots);
            }
        }
        return 1 / highestCost;
    }
}
