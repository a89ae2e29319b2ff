package org.carawaysill.control.document;

import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.carawaysill.model.configuration.CopyEntry;
import org.carawaysill.model.configuration.ServiceConfiguration;
import org.carawaysill.model.identity.NetworkAddress;
import org.carawaysill.model.identity.ServiceName;

/**
 * Checks that the valid documents of several services are consistent with each other.
 *
 * <p>Nodes can't make this check, because a node reads only the documents of its own service and of the services it
 * calls. Not thread safe: one instance checks one set of documents.
 */
final class SiteCheck {

    private final Map<ServiceName, ServiceConfiguration> services = new LinkedHashMap<>();
    private final Map<ServiceName, Path> files = new HashMap<>();
    private final Map<Object, Path> seen = new HashMap<>();
    private final List<String> faults = new ArrayList<>();

    /** Adds a document. A service, copy or address that an earlier document also contains is a fault. */
    void add(Path file, ServiceConfiguration service) {
        reportIfSeen(file, "service", service.service());
        for (CopyEntry copy : service.copies()) {
            reportIfSeen(file, "copies", copy.node());
            reportIfSeen(file, "copies", new NetworkAddress(copy.host(), copy.peerPort()));
        }
        services.put(service.service(), service);
        files.put(service.service(), file);
    }

    /** Returns the faults, each as {@code FILE: KEY: MESSAGE}. */
    List<String> faults() {
        List<String> all = new ArrayList<>(faults);
        for (ServiceName service : services.keySet()) {
            if (reaches(service, service)) {
                all.add(files.get(service) + ": calls: the calls of " + service + " lead back to itself");
            }
        }
        return all;
    }

    private void reportIfSeen(Path file, String key, Object value) {
        Path earlier = seen.putIfAbsent(value, file);
        if (earlier != null) {
            faults.add(file + ": " + key + ": " + value + " stands in " + earlier + " too");
        }
    }

    private boolean reaches(ServiceName start, ServiceName wanted) {
        Set<ServiceName> visited = new HashSet<>();
        Deque<ServiceName> toVisit = new ArrayDeque<>(calls(start));
        while (!toVisit.isEmpty()) {
            ServiceName next = toVisit.pop();
            if (next.equals(wanted)) {
                return true;
            }
            if (visited.add(next)) {
                toVisit.addAll(calls(next));
            }
        }
        return false;
    }

    private List<ServiceName> calls(ServiceName service) {
        ServiceConfiguration configuration = services.get(service);
        return configuration == null ? List.of() : configuration.calls();
    }
}
