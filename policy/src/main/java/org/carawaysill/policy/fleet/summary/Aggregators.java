package org.carawaysill.policy.fleet.summary;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.carawaysill.model.identity.AvailabilityZone;
import org.carawaysill.model.identity.NodeName;

/**
 * Which nodes sum up for their availability zone, by what one node knows of the others.
 *
 * <p>In each zone they are the two of lowest rank that can be reached: all nodes of the zone report to both, so that none of
 * them is blind when one goes. The first one, the primary, adds up what callers ask. Nodes that differ in whom they can reach
 * may report to different ones; each of these tells the others of those that report to it, so that all are known all the
 * same. Immutable and thread safe.
 */
public final class Aggregators {

    /** One that goes, and one that stays: each more costs a message for each node and interval. */
    private static final int IN_ZONE = 2;

    private final Map<AvailabilityZone, List<NodeName>> byZone = new HashMap<>();

    /**
     * Finds them.
     *
     * @param reachable the nodes that can be reached, by their zone
     */
    public Aggregators(Map<AvailabilityZone, List<NodeName>> reachable) {
        reachable.forEach((zone, nodes) -> byZone.put(
                zone, nodes.stream().sorted(NodeRank.ORDER).limit(IN_ZONE).toList()));
    }

    /**
     * Gives those of one zone, the primary first.
     *
     * @param zone the zone
     * @return one or two nodes; none where no node of the zone can be reached
     */
    public List<NodeName> of(AvailabilityZone zone) {
        return byZone.getOrDefault(zone, List.of());
    }

    /**
     * Gives those of all zones.
     *
     * @return the nodes
     */
    public List<NodeName> all() {
        return byZone.values().stream().flatMap(List::stream).toList();
    }
}
