package org.carawaysill.policy.fleet.schedule;

import java.time.Duration;
import java.util.Collection;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.carawaysill.model.fleet.Route;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.policy.fleet.route.MixedServices;

/**
 * What the callers of a service with both short and long work need, as its routes tell.
 *
 * <p>Invariant: both classes have a route of the service. Immutable and thread safe.
 *
 * @param classes the classes of the routes of the service, by name
 * @param waitNanos the least time that callers of each class can wait for an answer
 * @param aimNanos the target latencies of all routes that have one, by name
 */
public record ServiceWork(Map<String, WorkClass> classes, Map<WorkClass, Long> waitNanos, Map<String, Long> aimNanos) {

    public ServiceWork {
        classes = Map.copyOf(classes);
        waitNanos = Map.copyOf(waitNanos);
        aimNanos = Map.copyOf(aimNanos);
    }

    /**
     * Describes the work of a service.
     *
     * @param service the service
     * @param routes all routes of a configuration
     * @return the description, empty if the service does not do both short and long work
     */
    public static Optional<ServiceWork> of(ServiceName service, Collection<Route> routes) {
        if (!MixedServices.of(routes).contains(service)) {
            return Optional.empty();
        }
        List<Route> own = routes.stream()
                .filter(route -> route.destinations().stream()
                        .anyMatch(destination -> destination.service().equals(service)))
                .toList();
        Duration shortest = own.stream()
                .map(Route::timeout)
                .filter(Duration::isPositive)
                .min(Duration::compareTo)
                .orElseThrow();
        Map<String, WorkClass> classes = new HashMap<>();
        Map<WorkClass, Long> waits = new EnumMap<>(WorkClass.class);
        for (Route route : own) {
            boolean isShort = route.timeout().isPositive()
                    && route.timeout().compareTo(shortest.multipliedBy(MixedServices.LEAST_TIMEOUT_RATIO)) < 0;
            WorkClass workClass = isShort ? WorkClass.SHORT : WorkClass.LONG;
            classes.put(route.name(), workClass);
            if (route.timeout().isPositive()) {
                waits.merge(workClass, waitNanos(route), Math::min);
            }
        }
        Map<String, Long> aims = new HashMap<>();
        routes.stream()
                .filter(route -> route.targetLatency().isPositive())
                .forEach(route -> aims.put(route.name(), route.targetLatency().toNanos()));
        return Optional.of(new ServiceWork(classes, waits, aims));
    }

    private static long waitNanos(Route route) {
        Duration aim = route.targetLatency();
        boolean isAimFirst = aim.isPositive() && aim.compareTo(route.timeout()) < 0;
        return (isAimFirst ? aim : route.timeout()).toNanos();
    }

    /**
     * Returns the class of a route.
     *
     * @param route the name of the route
     * @return its class; long if the route is not known, so that it can't take what short work needs
     */
    public WorkClass classOf(String route) {
        return classes.getOrDefault(route, WorkClass.LONG);
    }
}
