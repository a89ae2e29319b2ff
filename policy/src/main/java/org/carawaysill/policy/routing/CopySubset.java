package org.carawaysill.policy.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.carawaysill.model.configuration.CopyEntry;
import org.carawaysill.model.configuration.ServiceConfiguration;
import org.carawaysill.model.identity.AvailabilityZone;
import org.carawaysill.model.identity.NodeName;

/**
 * Chooses the copies of a called service to which a node keeps connections, so that the number of connections doesn't
 * grow with the service.
 *
 * <p>Invariant: the same roster gives the same subset, and adding or removing a copy changes at most one element of it.
 * Stateless and thread safe.
 */
final class CopySubset {

    private CopySubset() {}

    /**
     * Chooses copies by their rank for this node: the highest-ranked ones of each availability zone, then the
     * highest-ranked remaining ones.
     *
     * @param self the choosing node
     * @param configuration the called service's configuration
     * @param settings the size of the subset
     * @return the chosen copies
     */
    static List<CopyEntry> choose(NodeName self, ServiceConfiguration configuration, RoutingSettings settings) {
        Map<NodeName, CopyEntry> copies = new HashMap<>();
        configuration.copies().forEach(copy -> copies.put(copy.node(), copy));
        List<CopyEntry> ranked = RendezvousRank.rank(self.value(), copies.keySet()).stream()
                .map(copies::get)
                .toList();
        List<CopyEntry> chosen = new ArrayList<>();
        for (int perZone = 1; perZone <= settings.copiesPerZone(); perZone++) {
            fillZones(ranked, chosen, perZone, settings.copiesPerService());
        }
        ranked.stream()
                .filter(copy -> !chosen.contains(copy))
                .limit(Math.max(0, settings.copiesPerService() - chosen.size()))
                .forEach(chosen::add);
        return chosen;
    }

    private static void fillZones(List<CopyEntry> ranked, List<CopyEntry> chosen, int perZone, int limit) {
        Map<AvailabilityZone, Integer> counts = new HashMap<>();
        chosen.forEach(copy -> counts.merge(copy.zone(), 1, Integer::sum));
        for (CopyEntry copy : ranked) {
            boolean zoneHasTooFew = counts.getOrDefault(copy.zone(), 0) < perZone;
            if (zoneHasTooFew && chosen.size() < limit && !chosen.contains(copy)) {
                counts.merge(copy.zone(), 1, Integer::sum);
                chosen.add(copy);
            }
        }
    }
}
