package org.carawaysill.policy.fleet.summary;

import java.util.Comparator;
import org.carawaysill.model.identity.NodeName;

/**
 * An order of nodes that each node can compute by itself and that does not correlate with the nodes' locations.
 *
 * <p>Stateless and thread safe.
 */
public final class NodeRank {

    /** The order of nodes: the first of a set of nodes is the one that acts for all of them. */
    public static final Comparator<NodeName> ORDER =
            Comparator.comparingInt(NodeRank::of).thenComparing(NodeName::value);

    /** The factor that spreads hash codes; odd, so that different hash codes have different ranks. */
    private static final int SPREAD = 0x9E3779B1;

    private NodeRank() {}

    private static int of(NodeName node) {
        return node.value().hashCode() * SPREAD;
    }
}
