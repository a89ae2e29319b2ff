package org.carawaysill.policy.fleet.summary;

import java.util.Comparator;
import org.carawaysill.model.identity.NodeName;

/**
 * An order of nodes that all of them know without talking, and that has nothing to do with where they stand.
 *
 * <p>Stateless and thread safe.
 */
public final class NodeRank {

    /** The first of some nodes is the one that acts for them. */
    public static final Comparator<NodeName> ORDER =
            Comparator.comparingInt(NodeRank::of).thenComparing(NodeName::value);

    /** Odd, so that no two names come to one rank that had not one hash code. */
    private static final int SPREAD = 0x9E3779B1;

    private NodeRank() {}

    private static int of(NodeName node) {
        return node.value().hashCode() * SPREAD;
    }
}
