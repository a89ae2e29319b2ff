package org.carawaysill.policy.fleet.entry;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.carawaysill.policy.message.PeerMessage.NodeReport;

/**
 * What callers ask of all nodes, by the latest report of each.
 *
 * <p>Not thread safe: built once, then only read.
 */
final class FleetDemand {

    private final Map<String, Double> offered = new HashMap<>();

    FleetDemand(Collection<NodeReport> reports) {
        for (NodeReport report : reports) {
            report.demands()
                    .forEach(demand -> offered.merge(demand.route(), (double) demand.offeredPerSecond(), Double::sum));
        }
    }

    Set<String> routes() {
        return offered.keySet();
    }

    double offered(String route) {
        return offered.getOrDefault(route, 0.0);
    }
}
