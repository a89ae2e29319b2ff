package org.carawaysill.policy.fleet.entry;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.policy.message.PeerMessage.NodeReport;

/**
 * The sums over the latest reports of all nodes.
 *
 * <p>Not thread safe: built once, then only read.
 */
final class FleetDemand {

    private final Map<String, Double> offered = new HashMap<>();
    private final Map<ServiceName, Double> slots = new HashMap<>();

    FleetDemand(Collection<NodeReport> reports) {
        for (NodeReport report : reports) {
            report.demands()
                    .forEach(demand -> offered.merge(demand.route(), (double) demand.offeredPerSecond(), Double::sum));
            if (!report.leaving()) {
                slots.merge(report.service(), (double) report.load().limit(), Double::sum);
            }
        }
    }

    Set<String> routes() {
        return offered.keySet();
    }

    Set<ServiceName> services() {
        return slots.keySet();
    }

    double offered(String route) {
        return offered.getOrDefault(route, 0.0);
    }

    double slots(ServiceName service) {
        return slots.getOrDefault(service, 0.0);
    }
}
