package org.carawaysill.control.fleet;

import java.util.Collections;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import org.carawaysill.control.options.ServiceVersion;
import org.carawaysill.model.identity.ServiceName;

/**
 * The configuration versions in force on the nodes that answered.
 *
 * <p>Immutable and thread safe.
 *
 * @param reports the reports of the nodes
 * @param newest the newest version that any of them has in force, by service
 */
record FleetVersions(List<NodeReport> reports, SortedMap<ServiceName, Long> newest) {

    FleetVersions {
        reports = List.copyOf(reports);
        newest = Collections.unmodifiableSortedMap(new TreeMap<>(newest));
    }

    static FleetVersions of(List<NodeReport> reports) {
        SortedMap<ServiceName, Long> newest = new TreeMap<>();
        for (NodeReport report : reports) {
            newest.putIfAbsent(report.service(), 0L);
            report.versions().forEach((service, version) -> newest.merge(service, version, Math::max));
        }
        return new FleetVersions(reports, newest);
    }

    /** Returns the nodes that use a service. */
    List<NodeReport> users(ServiceName service) {
        return reports.stream().filter(report -> report.uses(service)).toList();
    }

    /** Returns the nodes that use a service and have an older version of it in force than another node, or none. */
    List<NodeReport> behind(ServiceName service) {
        long wanted = Math.max(newest.getOrDefault(service, 0L), 1);
        return behind(new ServiceVersion(service, wanted));
    }

    /** Returns the nodes that use a service and have an older version of it in force than a given one, or none. */
    List<NodeReport> behind(ServiceVersion wanted) {
        return users(wanted.service()).stream()
                .filter(report -> report.version(wanted.service()) < wanted.version())
                .toList();
    }
}
