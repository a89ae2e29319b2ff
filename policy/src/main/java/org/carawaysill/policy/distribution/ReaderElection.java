package org.carawaysill.policy.distribution;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.carawaysill.model.configuration.ServiceConfiguration;
import org.carawaysill.model.identity.AvailabilityZone;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.policy.routing.RendezvousRank;

/**
 * Elects the nodes that watch a document at the platform, without messages: each node ranks the nodes that it has heard
 * from recently.
 *
 * <p>Invariant: nodes with the same candidates elect the same readers; each side of a network partition elects its own.
 * Stateless and thread safe.
 */
final class ReaderElection {

    private ReaderElection() {}

    /**
     * Elects the readers of a document within a service: the highest-ranked node, then the next ones in other
     * availability zones as long as there are any, so that a reader remains after the loss of one zone.
     *
     * @param document the document's service, the key of the ranking, which spreads the documents over the nodes
     * @param roster the electing service's configuration
     * @param candidates the nodes that were heard from recently, and the electing one
     * @param count the number of readers
     * @return the readers
     */
    static Set<NodeName> elect(
            ServiceName document, ServiceConfiguration roster, Collection<NodeName> candidates, int count) {
        List<NodeName> ranked = RendezvousRank.rank(document.value(), candidates);
        Set<NodeName> readers = new HashSet<>();
        Set<AvailabilityZone> zones = new HashSet<>();
        for (NodeName node : ranked) {
            boolean newZone =
                    roster.copy(node).map(copy -> zones.add(copy.zone())).orElse(true);
            if (newZone && readers.size() < count) {
                readers.add(node);
            }
        }
        for (NodeName node : ranked) {
            if (readers.size() < count) {
                readers.add(node);
            }
        }
        return readers;
    }
}
