package org.carawaysill.policy.fleet.publication;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.carawaysill.model.identity.AvailabilityZone;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.policy.fleet.summary.NodeRank;

/**
 * Decides which nodes are readers, that is, read the platform on behalf of all others.
 *
 * <p>Of the nodes that can read, the readers are the node of lowest rank in each of three availability zones, or two
 * nodes if there is only one zone. All nodes receive from each other which can read, so they arrive at the same readers
 * without an election; while they differ, there is one reader too many or the next in rank takes over. A zone that is
 * disconnected from the others has readers of its own. With a reader in each zone and occasional reads of all other
 * nodes, 95 nodes made some 900 calls in half a minute, each of which the platform counts; no more than three readers
 * are needed, since all nodes send each other what is new. Stateless and thread safe.
 */
public final class Readers {

    /** The number of readers: two can fail one after the other, and the third is still in time. */
    private static final int MAXIMUM_READERS = 3;

    private static final int MINIMUM_READERS = 2;

    /**
     * A node that can read the platform.
     *
     * @param node the node
     * @param zone its availability zone
     */
    public record Candidate(NodeName node, AvailabilityZone zone) {}

    private Readers() {}

    /**
     * Returns whether a node is a reader.
     *
     * @param self the node
     * @param candidates all nodes that can read the platform
     * @return whether it is
     */
    public static boolean isReader(NodeName self, List<Candidate> candidates) {
        List<Candidate> ranked = candidates.stream()
                .sorted(Comparator.comparing(Candidate::node, NodeRank.ORDER))
                .toList();
        Map<AvailabilityZone, NodeName> firstByZone = new LinkedHashMap<>();
        ranked.forEach(each -> firstByZone.putIfAbsent(each.zone(), each.node()));
        Set<NodeName> readers = new LinkedHashSet<>(
                firstByZone.values().stream().limit(MAXIMUM_READERS).toList());
        ranked.stream().limit(MINIMUM_READERS).map(Candidate::node).forEach(node -> {
            if (readers.size() < MINIMUM_READERS) {
                readers.add(node);
            }
        });
        return readers.contains(self);
    }
}
