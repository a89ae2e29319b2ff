package org.carawaysill.policy.fleet.entry;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.carawaysill.model.fleet.Destination;
import org.carawaysill.model.fleet.Route;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.policy.fleet.retry.RetrySettings;
import org.carawaysill.policy.fleet.summary.RouteSums;
import org.jspecify.annotations.Nullable;

/**
 * Limits the shares of routes whose chains of calls pass a service that rejects part of its tries, so that no more are
 * admitted than can come out whole.
 *
 * <p>What is scarce there are retries: a chain needs several for each call, and the fleet may send few. They are
 * allotted to routes in the order of their ranks. A route of which hardly any chain would still come out is reduced to
 * {@link PassLimit#LEAST}. Invariants: a limit is {@link PassLimit#LEAST} to 1; requests for such a service itself are never
 * limited, since a request that its copy rejects has cost nothing. Not thread safe: owned by the policy.
 */
final class PassPlan {

    /** Below this chance, more than four chains would run for each that comes out: they are better refused. */
    private static final double HOPELESS_BELOW = 0.25;

    /** Chains above this chance are admitted again; in between, limits stay, so that noise does not move them. */
    private static final double HOPEFUL_ABOVE = 0.4;

    /** With fewer admitted requests a second, the part that succeeds is not known. */
    private static final double LEAST_ADMITTED = 2;

    /** The part of the bound of retries that nodes use, as in their own allowances. */
    private static final double PLANNED_PART = 0.7;

    private final Map<ServiceName, ServicePasses> services = new HashMap<>();
    private final Map<DemandKey, PassLimit> limits = new HashMap<>();
    private final Map<DemandKey, Double> lastShares = new HashMap<>();

    /**
     * Sets the limits of routes.
     *
     * @param demand the sums of the fleet
     * @param byRank the routes to plan for, the most important first, with their costs
     * @param routes all routes, by name
     * @param costs the costs of routes
     * @param mixed the services that are looked at
     */
    void update(
            RouteSums demand,
            Iterable<List<PlannedRoute>> byRank,
            Map<String, Route> routes,
            RouteCosts costs,
            MixedWork mixed) {
        measure(demand, routes, costs, mixed);
        Map<ServiceName, Double> retriesLeft = new HashMap<>();
        services.forEach((service, passes) -> retriesLeft.put(service, retries(passes, mixed.retries())));
        for (List<PlannedRoute> sameRank : byRank) {
            for (PlannedRoute route : sameRank) {
                PassLimit limit = limits.get(route.key());
                route.limit(limit == null ? 1 : limit.value());
            }
            for (PlannedRoute route : sameRank) {
                limit(route, sameRank, retriesLeft, demand);
            }
            sameRank.forEach(route -> takeRetries(route, retriesLeft));
        }
    }

    private void measure(RouteSums demand, Map<String, Route> routes, RouteCosts costs, MixedWork mixed) {
        services.values().forEach(ServicePasses::begin);
        for (DemandKey key : demand.keys()) {
            Route route = routes.get(key.route());
            if (route == null || demand.offered(key) > 0) {
                continue;
            }
            for (Destination destination : route.destinations()) {
                ServiceName service = destination.service();
                if (mixed.services().contains(service)) {
                    services.computeIfAbsent(service, _ -> new ServicePasses())
                            .add(
                                    demand.admitted(key),
                                    demand.succeeded(key),
                                    costs.of(route.name()).getOrDefault(service, 0.0),
                                    route.maximumAttempts());
                }
            }
        }
        services.values().forEach(ServicePasses::end);
    }

    private static double retries(ServicePasses passes, RetrySettings bound) {
        double extra = bound.extra() / (bound.window().toMillis() / 1000.0);
        return PLANNED_PART * (bound.ratio() * passes.firstTries() + extra);
    }

    private void limit(
            PlannedRoute planned, List<PlannedRoute> sameRank, Map<ServiceName, Double> retriesLeft, RouteSums demand) {
        double whole = 1;
        double allotted = 1;
        double passed = 1;
        for (Map.Entry<ServiceName, Double> cost : planned.costs().entrySet()) {
            ServicePasses passes = calledBy(planned, cost.getKey());
            if (passes != null) {
                double calls = passes.calls(cost.getValue());
                whole *= passes.chance(calls, 1);
                allotted *= passes.chance(calls, allottedPart(sameRank, cost.getKey(), retriesLeft));
                passed = Math.min(passed, passes.probability());
            }
        }
        move(planned, whole, Math.max(allotted, succeededPart(planned.key(), demand)), passed);
    }

    private double allottedPart(
            List<PlannedRoute> sameRank, ServiceName service, Map<ServiceName, Double> retriesLeft) {
        double needed = 0;
        for (PlannedRoute other : sameRank) {
            needed += retriesNeeded(other, service);
        }
        double left = retriesLeft.getOrDefault(service, 0.0);
        return needed > left ? left / needed : 1;
    }

    /** Returns which part of the admitted requests succeeded of late; 0 if there were too few of them to tell. */
    private static double succeededPart(DemandKey key, RouteSums demand) {
        double admitted = demand.admitted(key);
        return admitted >= LEAST_ADMITTED ? demand.succeeded(key) / admitted : 0;
    }

    private void move(PlannedRoute planned, double whole, double now, double passed) {
        boolean hopeless = Math.min(whole, now) < HOPELESS_BELOW;
        PassLimit limit = limits.get(planned.key());
        if (limit == null) {
            if (!hopeless) {
                return;
            }
            limit = new PassLimit(lastShares.getOrDefault(planned.key(), 1.0));
            limits.put(planned.key(), limit);
        }
        if (hopeless) {
            limit.fall(Math.min(whole, now) / HOPELESS_BELOW, passed);
        } else if (Math.min(whole, now) > HOPEFUL_ABOVE) {
            limit.rise();
        }
        if (limit.value() >= 1) {
            limits.remove(planned.key());
        }
        planned.limit(limit.value());
    }

    private void takeRetries(PlannedRoute route, Map<ServiceName, Double> retriesLeft) {
        for (ServiceName service : route.costs().keySet()) {
            double needed = retriesNeeded(route, service);
            if (needed > 0) {
                retriesLeft.put(service, Math.max(0, retriesLeft.getOrDefault(service, 0.0) - needed));
            }
        }
    }

    /** Returns the retries a second that a route's admitted chains use if they get all that they need. */
    private double retriesNeeded(PlannedRoute route, ServiceName service) {
        ServicePasses passes = calledBy(route, service);
        double cost = route.costs().getOrDefault(service, 0.0);
        if (passes == null || cost <= 0) {
            return 0;
        }
        double admitted = Math.min(route.limit(), lastShares.getOrDefault(route.key(), 1.0)) * route.offered();
        return admitted * passes.retriesOfChain(passes.calls(cost));
    }

    /** Returns what is known of a service that a route's requests reach by calls; null if there is nothing. */
    private @Nullable ServicePasses calledBy(PlannedRoute route, ServiceName service) {
        return route.isFor(service) ? null : services.get(service);
    }

    /** Notes which share a plan admits, from which a limit would have to fall. */
    void planned(PlannedRoute route) {
        lastShares.put(route.key(), route.share());
        PassLimit limit = limits.get(route.key());
        if (limit != null) {
            limit.admitted(route.share());
        }
    }

    /** Returns whether requests are refused since their chains would not come out whole. */
    boolean isLimited(DemandKey key) {
        return limits.containsKey(key);
    }

    /** Removes what is known of routes without demand, and of services that are no longer mixed. */
    void retain(RouteSums demand, MixedWork mixed) {
        limits.keySet().removeIf(key -> mixed.services().isEmpty() || demand.offered(key) <= 0);
        lastShares.keySet().removeIf(key -> demand.offered(key) <= 0);
        services.keySet().removeIf(service -> !mixed.services().contains(service));
    }
}
