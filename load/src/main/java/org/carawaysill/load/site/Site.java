package org.carawaysill.load.site;

import java.util.ArrayList;
import java.util.List;
import org.carawaysill.model.identity.AvailabilityZone;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.ServiceName;

/**
 * A site as a bench runs it: its processes, all on loopback, and the traffic of its callers.
 *
 * <p>Invariant: the services contain the bottleneck and every entry service; at least one operation reaches the
 * bottleneck. Immutable and thread safe.
 *
 * @param name the site's name
 * @param zones its availability zones
 * @param services its services, in the order of their ports
 * @param bottleneck the service that bounds its goodput
 * @param operations the traffic of its callers
 * @param graph the calls between the services
 */
public record Site(
        String name,
        List<AvailabilityZone> zones,
        List<SiteService> services,
        Bottleneck bottleneck,
        List<LoadOperation> operations,
        CallGraph graph) {

    /** The host on which all processes listen. */
    public static final String HOST = "127.0.0.1";
    /** The port of the configuration stand-in. */
    public static final int CONFIGURATION_PORT = 20001;
    /** The port of the VM-list stand-in. */
    public static final int VM_LIST_PORT = 20002;

    private static final double MILLISECONDS_PER_SECOND = 1000.0;

    public Site {
        zones = List.copyOf(zones);
        services = List.copyOf(services);
        operations = List.copyOf(operations);
        requireService(services, bottleneck.service());
        requireService(services, bottleneck.slowedService());
        for (LoadOperation operation : operations) {
            requireService(services, operation.service());
        }
        if (zones.isEmpty()) {
            throw new IllegalArgumentException("zones must name at least one");
        }
    }

    private static void requireService(List<SiteService> services, ServiceName required) {
        if (services.stream().noneMatch(service -> service.name().equals(required))) {
            throw new IllegalArgumentException("no service is named " + required);
        }
    }

    /**
     * Returns all copies.
     *
     * @return the copies in the order of their ports; the copies of a service are assigned to the zones in turn
     */
    public List<SiteCopy> copies() {
        List<SiteCopy> copies = new ArrayList<>();
        for (SiteService service : services) {
            for (int number = 1; number <= service.copies(); number++) {
                NodeName node = new NodeName(service.name() + "-" + number);
                AvailabilityZone zone = zones.get((number - 1) % zones.size());
                copies.add(new SiteCopy(copies.size(), node, zone, service));
            }
        }
        return copies;
    }

    /**
     * Returns the copies of one service.
     *
     * @param service the service
     * @return its copies
     */
    public List<SiteCopy> copiesOf(ServiceName service) {
        return copies().stream()
                .filter(copy -> copy.service().name().equals(service))
                .toList();
    }

    /**
     * Counts the bottleneck's slots.
     *
     * @return the total of the slots of its copies
     */
    public int bottleneckSlots() {
        return copiesOf(bottleneck.service()).stream()
                .mapToInt(copy -> copy.service().slots())
                .sum();
    }

    /**
     * Returns the time for which a request holds slots of the bottleneck.
     *
     * @param operation the request
     * @param slowdown the factor on the service time of the slowed service
     * @return milliseconds; 0 if it never holds one
     */
    public double holdMilliseconds(LoadOperation operation, double slowdown) {
        return graph.holdMilliseconds(operation, bottleneck.service(), bottleneck.slowedService(), slowdown);
    }

    /**
     * Returns the rate of the whole traffic at which all slots of the bottleneck are in use.
     *
     * @return requests a second, in the normal mix
     */
    public double capacityPerSecond() {
        double slotMilliseconds = operations.stream()
                .mapToDouble(operation -> operation.share() * holdMilliseconds(operation, 1))
                .sum();
        return bottleneckSlots() * MILLISECONDS_PER_SECOND / slotMilliseconds;
    }
}
