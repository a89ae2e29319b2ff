package org.carawaysill.policy.fleet.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.carawaysill.model.identity.ServiceName;

/**
 * The slots that are planned for at each service, as they are given out to routes.
 *
 * <p>Invariant: no service gives out more than it has, but for rounding. Not thread safe: lives as long as one plan is made.
 */
final class SharedRoom {

    /** Shares and slots that differ by less than this part are the same: sums of some hundred fractions are that exact. */
    private static final double ROUNDING = 1e-6;

    /** What a request counts that takes no slot of any service with room: far less than any that takes one. */
    private static final double LEAST_DEARNESS = 1e-6;

    private final Map<ServiceName, Double> whole = new HashMap<>();
    private final Map<ServiceName, Double> left = new HashMap<>();

    void add(ServiceName service, double slots) {
        whole.put(service, slots);
        left.put(service, slots);
    }

    /** Returns whether all planned slots of a service were given out, so that it rejects requests. */
    boolean isFull(ServiceName service) {
        return whole.containsKey(service) && free(service, 0) <= ROUNDING * whole.getOrDefault(service, 0.0);
    }

    /**
     * Raises the shares of routes together until each has its most, or a service that it needs is full.
     *
     * <p>A route rises the slower the more of any service's slots one request of it takes, in proportion: so each route gets
     * as many slots as the others. With equal shares, a route with dear requests would push out several times as many cheap
     * ones; with the cheap ones first, the dear ones would hardly be served at all.
     *
     * @param routes the routes, whose shares are raised
     * @param mostShare the share up to which they rise, 0 to 1
     * @param part the part of each service's slots that may be given out, to these and to those before, 0 to 1
     */
    void fill(List<PlannedRoute> routes, double mostShare, double part) {
        List<PlannedRoute> rising = new ArrayList<>(routes);
        // Each round ends the rise of at least one route.
        for (int rounds = routes.size(); rounds > 0; rounds--) {
            rising.removeIf(route -> route.share() >= mostShare - ROUNDING || isKeptOut(route, part));
            raise(rising, mostShare, part);
        }
    }

    private boolean isKeptOut(PlannedRoute route, double part) {
        return route.costs().entrySet().stream()
                .anyMatch(cost -> cost.getValue() > 0
                        && free(cost.getKey(), 1 - part) <= ROUNDING * whole.getOrDefault(cost.getKey(), 0.0));
    }

    private double free(ServiceName service, double keptPart) {
        return left.getOrDefault(service, 0.0) - keptPart * whole.getOrDefault(service, 0.0);
    }

    private void raise(List<PlannedRoute> rising, double mostShare, double part) {
        Map<ServiceName, Double> use = new HashMap<>();
        double step = Double.MAX_VALUE;
        for (PlannedRoute route : rising) {
            double pace = pace(route);
            step = Math.min(step, (mostShare - route.share()) / pace);
            route.costs().forEach((service, cost) -> use.merge(service, pace * route.offered() * cost, Double::sum));
        }
        for (Map.Entry<ServiceName, Double> each : use.entrySet()) {
            if (each.getValue() > 0) {
                step = Math.min(step, Math.max(0, free(each.getKey(), 1 - part)) / each.getValue());
            }
        }
        for (PlannedRoute route : rising) {
            route.raise(step * pace(route));
        }
        double taken = step;
        use.forEach((service, each) -> left.merge(service, -taken * each, Double::sum));
    }

    private double pace(PlannedRoute route) {
        double dearness = LEAST_DEARNESS;
        for (Map.Entry<ServiceName, Double> cost : route.costs().entrySet()) {
            double slots = whole.getOrDefault(cost.getKey(), 0.0);
            if (slots > 0) {
                dearness = Math.max(dearness, cost.getValue() / slots);
            }
        }
        return 1 / dearness;
    }
}
