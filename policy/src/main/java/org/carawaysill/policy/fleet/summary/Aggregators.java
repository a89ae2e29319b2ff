package org.carawaysill.policy.fleet.summary;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.carawaysill.model.identity.AvailabilityZone;
import org.carawaysill.model.identity.NodeName;

/**
 * The nodes that aggregate the reports of each availability zone, as one node determines them from its view of the
 * fleet.
 *
 * <p>In each zone they are the two reachable nodes of lowest rank. All nodes of the zone report to both, so that none
 * is without information when one fails. The first one, the primary, sums up the demand. Nodes that differ in which
 * nodes they can reach may report to different aggregators; each aggregator sends the others the state of the nodes
 * that report to it, so that all nodes become known nevertheless. Immutable and thread safe.
 */
public final class Aggregators {

    /**
     * The number of aggregators of a zone: if one fails, one is left. Each more would cost a message for each node and
     * interval.
     */
    private static final int AGGREGATORS_PER_ZONE = 2;

    private final Map<AvailabilityZone, List<NodeName>> byZone = new HashMap<>();

    /**
     * Determines the aggregators of all zones.
     *
     * @param reachable the reachable nodes, by their zone
     */
    public Aggregators(Map<AvailabilityZone, List<NodeName>> reachable) {
        reachable.forEach((zone, nodes) -> byZone.put(
                zone,
                nodes.stream()
                        .sorted(NodeRank.ORDER)
                        .limit(AGGREGATORS_PER_ZONE)
                        .toList()));
    }

    /**
     * Returns the aggregators of one zone, the primary first.
     *
     * @param zone the zone
     * @return one or two nodes; none if no node of the zone is reachable
     */
    public List<NodeName> of(AvailabilityZone zone) {
        return byZone.getOrDefault(zone, List.of());
    }

    /**
     * Returns the aggregators of all zones.
     *
     * @return the nodes
     */
    public List<NodeName> all() {
        return byZone.values().stream().flatMap(List::stream).toList();
    }
}
