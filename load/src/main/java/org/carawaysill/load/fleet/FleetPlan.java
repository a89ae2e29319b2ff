package org.carawaysill.load.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.carawaysill.load.site.SiteCopy;
import org.carawaysill.load.site.SiteService;
import org.carawaysill.model.identity.AvailabilityZone;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.ServiceName;

/**
 * A fleet on loopback: services in a ring, each of which calls the next two.
 *
 * <p>Invariant: the sizes of two services differ by at most one; a service never calls itself. Immutable and thread
 * safe.
 *
 * @param services the services, in the order of their ports
 */
public record FleetPlan(List<FleetService> services) {

    /** Maximum number of nodes, which limits the processes on one machine to a few hundred. */
    public static final int MAXIMUM_NODES = 300;

    private static final int ZONES = 13;
    private static final int CALLED_SERVICES = 2;
    private static final int SLOTS = 50;
    private static final int CONNECTIONS = 500;

    public FleetPlan {
        services = List.copyOf(services);
    }

    /**
     * Plans a fleet.
     *
     * @param nodes the number of nodes
     * @param serviceNodes the maximum number of nodes of a service
     * @return the plan
     */
    public static FleetPlan of(int nodes, int serviceNodes) {
        if (nodes < 1 || nodes > MAXIMUM_NODES || serviceNodes < 1) {
            throw new IllegalArgumentException("a fleet has 1 to " + MAXIMUM_NODES + " nodes, a service at least 1");
        }
        int count = (nodes + serviceNodes - 1) / serviceNodes;
        List<FleetService> services = new ArrayList<>();
        int first = 0;
        for (int number = 0; number < count; number++) {
            int size = nodes / count + (number < nodes % count ? 1 : 0);
            services.add(new FleetService(name(number), copies(name(number), first, size), calls(number, count)));
            first += size;
        }
        return new FleetPlan(services);
    }

    private static ServiceName name(int number) {
        return new ServiceName("service-" + (number + 1));
    }

    private static List<ServiceName> calls(int number, int count) {
        return IntStream.rangeClosed(1, Math.min(CALLED_SERVICES, count - 1))
                .mapToObj(step -> name((number + step) % count))
                .toList();
    }

    private static List<SiteCopy> copies(ServiceName name, int first, int size) {
        SiteService service = new SiteService(name, size, SLOTS, CONNECTIONS, 0);
        return IntStream.range(0, size)
                .mapToObj(i -> new SiteCopy(first + i, new NodeName(name + "-" + (i + 1)), zone(first + i), service))
                .toList();
    }

    private static AvailabilityZone zone(int index) {
        return new AvailabilityZone("zone-" + (index % ZONES + 1));
    }

    /**
     * Returns all copies.
     *
     * @return the copies in the order of their ports
     */
    public List<SiteCopy> copies() {
        return services.stream().flatMap(service -> service.copies().stream()).toList();
    }

    /** Returns the copies whose nodes read a service's document: its own and those of its callers. */
    List<SiteCopy> followers(FleetService followed) {
        return services.stream()
                .filter(service -> service.equals(followed) || service.calls().contains(followed.name()))
                .flatMap(service -> service.copies().stream())
                .toList();
    }
}
