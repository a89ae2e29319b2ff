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
 * Which nodes read the platform for all others.
 *
 * <p>They are the node of lowest rank of each of three availability zones, and two nodes of one zone where there is only that
 * one, out of those that can read. All nodes hear which can, so that they come to the same readers without an election; while
 * they differ, there is a reader too many or the next rank steps in. A zone that is cut off from the others has readers of
 * its own. With a reader in each zone and a read now and then of all others, 95 nodes made some 900 calls in half a minute,
 * each of which the platform counts; no more than three are needed, since all tell one another what is new. Stateless and
 * thread safe.
 */
public final class Readers {

    /** Two can fail one after the other, and the third is still in time. */
    private static final int MOST_READERS = 3;

    private static final int LEAST_READERS = 2;

    /**
     * A node that could read.
     *
     * @param node the node
     * @param zone where it stands
     */
    public record Candidate(NodeName node, AvailabilityZone zone) {}

    private Readers() {}

    /**
     * Returns whether a node is a reader.
     *
     * @param self the node
     * @param candidates all nodes that can read the platform
     * @return whether it reads for the others
     */
    public static boolean isReader(NodeName self, List<Candidate> candidates) {
        List<Candidate> ranked = candidates.stream()
                .sorted(Comparator.comparing(Candidate::node, NodeRank.ORDER))
                .toList();
        Map<AvailabilityZone, NodeName> firsts = new LinkedHashMap<>();
        ranked.forEach(each -> firsts.putIfAbsent(each.zone(), each.node()));
        Set<NodeName> readers =
                new LinkedHashSet<>(firsts.values().stream().limit(MOST_READERS).toList());
        ranked.stream().limit(LEAST_READERS).map(Candidate::node).forEach(node -> {
            if (readers.size() < LEAST_READERS) {
                readers.add(node);
            }
        });
        return readers.contains(self);
    }
}
