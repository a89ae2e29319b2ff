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
 * Elects the nodes that watch a document at the platform, without a message: each node ranks those that it hears.
 *
 * <p>Invariant: nodes that hear the same nodes elect the same ones; a part of a divided network elects its own. No state;
 * thread safe.
 */
final class ReaderElection {

    private ReaderElection() {}

    /**
     * Elects the readers of a document within a service: the first in rank, then the next of other availability zones as
     * long as there are any, so that the loss of one zone leaves a reader.
     *
     * @param document the document's service, which spreads the documents over the nodes
     * @param roster the electing service's configuration
     * @param candidates the nodes that are heard, and the electing one
     * @param count how many readers
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
