package org.carawaysill.policy.fleet.route;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.carawaysill.model.fleet.Destination;
import org.carawaysill.model.fleet.Route;
import org.carawaysill.model.identity.ServiceName;

/**
 * The services that do both short and long work, as the operators' timeouts tell.
 *
 * <p>There, a number of requests says little about a wait, and a few long requests can hold all slots that short ones
 * need. Immutable and thread safe.
 */
public final class MixedServices {

    /** No service. */
    public static final MixedServices NONE = new MixedServices(Set.of());

    /** The least ratio of the longest to the shortest timeout: below it, one queue suits all requests. */
    public static final int LEAST_TIMEOUT_RATIO = 4;

    private final Set<ServiceName> services;

    private MixedServices(Set<ServiceName> services) {
        this.services = Set.copyOf(services);
    }

    /**
     * Finds the services with both short and long work.
     *
     * @param routes all routes of a configuration
     * @return the services; routes without a timeout do not count
     */
    public static MixedServices of(Collection<Route> routes) {
        Map<ServiceName, Duration> shortest = new HashMap<>();
        Map<ServiceName, Duration> longest = new HashMap<>();
        for (Route route : routes) {
            if (route.timeout().isPositive()) {
                for (Destination destination : route.destinations()) {
                    shortest.merge(destination.service(), route.timeout(), MixedServices::shorter);
                    longest.merge(destination.service(), route.timeout(), MixedServices::longer);
                }
            }
        }
        Set<ServiceName> mixed = new HashSet<>();
        shortest.forEach((service, least) -> {
            if (longest.get(service).compareTo(least.multipliedBy(LEAST_TIMEOUT_RATIO)) >= 0) {
                mixed.add(service);
            }
        });
        return new MixedServices(mixed);
    }

    private static Duration shorter(Duration one, Duration other) {
        return one.compareTo(other) <= 0 ? one : other;
    }

    private static Duration longer(Duration one, Duration other) {
        return one.compareTo(other) >= 0 ? one : other;
    }

    /**
     * Returns whether no service does both short and long work.
     *
     * @return whether there is none
     */
    public boolean isEmpty() {
        return services.isEmpty();
    }

    /**
     * Returns whether a service does both short and long work.
     *
     * @param service the service
     * @return whether it does
     */
    public boolean contains(ServiceName service) {
        return services.contains(service);
    }
}
