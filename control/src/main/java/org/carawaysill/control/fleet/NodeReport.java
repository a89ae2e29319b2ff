package org.carawaysill.control.fleet;

import io.vertx.core.json.JsonObject;
import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;
import org.carawaysill.model.identity.AvailabilityZone;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.ServiceName;

/**
 * The state that a node reports.
 *
 * <p>Immutable and thread safe.
 *
 * @param node its name
 * @param service the service whose copy it runs beside
 * @param zone its availability zone
 * @param draining whether it takes no new work
 * @param versions the configuration version in force by service
 */
record NodeReport(
        NodeName node,
        ServiceName service,
        AvailabilityZone zone,
        boolean draining,
        SortedMap<ServiceName, Long> versions) {

    NodeReport {
        versions = Collections.unmodifiableSortedMap(new TreeMap<>(versions));
    }

    /**
     * Parses the answer of a node's {@code /status}.
     *
     * @param status the answer
     * @return the report
     * @throws RuntimeException if the answer has another structure
     */
    static NodeReport of(JsonObject status) {
        SortedMap<ServiceName, Long> versions = new TreeMap<>();
        JsonObject written = status.getJsonObject("versions");
        written.fieldNames().forEach(service -> versions.put(new ServiceName(service), written.getLong(service)));
        return new NodeReport(
                new NodeName(status.getString("node")),
                new ServiceName(status.getString("service")),
                new AvailabilityZone(status.getString("zone")),
                status.getBoolean("draining"),
                versions);
    }

    /** Returns the version of a service that is in force, 0 if there is none. */
    long version(ServiceName of) {
        return versions.getOrDefault(of, 0L);
    }

    /** Tells whether the node needs a service's document: its own, and those of the services that its copy calls. */
    boolean uses(ServiceName other) {
        return service.equals(other) || versions.containsKey(other);
    }
}
