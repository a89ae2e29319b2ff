package org.carawaysill.policy.fleet.publication;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.carawaysill.model.identity.AvailabilityZone;
import org.carawaysill.model.identity.NodeName;

/**
 * Which nodes read the platform for all others.
 *
 * <p>In each availability zone the node of lowest rank that can read does, and at least two in all. All nodes hear which
 * nodes can read, so that they come to the same readers without an election; while they differ, there is a reader too many
 * or the next rank steps in. Without it each node reads at the readers' pace, and the platform's limit of reads is met
 * at a few thousand nodes. Stateless and thread safe.
 */
public final class Readers {

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
     * Tells whether a node is a reader.
     *
     * @param self the node
     * @param candidates all nodes that can read the platform
     * @return whether it reads for the others; also where it is no candidate and there are too few
     */
    public static boolean isReader(NodeName self, List<Candidate> candidates) {
        List<Candidate> ranked = candidates.stream()
                .sorted(Comparator.<Candidate>comparingInt(each -> rank(each.node()))
                        .thenComparing(each -> each.node().value()))
                .toList();
        Map<AvailabilityZone, NodeName> firsts = new HashMap<>();
        ranked.forEach(each -> firsts.putIfAbsent(each.zone(), each.node()));
        if (firsts.containsValue(self) || ranked.size() < LEAST_READERS) {
            return true;
        }
        return firsts.size() < LEAST_READERS
                && ranked.stream()
                        .limit(LEAST_READERS)
                        .anyMatch(each -> each.node().equals(self));
    }

    private static int rank(NodeName node) {
        return node.value().hashCode() * 0x9E3779B1;
    }
}
