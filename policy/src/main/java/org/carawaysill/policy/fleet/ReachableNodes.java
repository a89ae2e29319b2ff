package org.carawaysill.policy.fleet;

import org.carawaysill.model.identity.NodeName;

/**
 * Decides which nodes may get work.
 *
 * <p>A node to which nothing was sent for long may have failed without a sign on its connection; the aggregators that
 * receive its reports know. Messages received from the node directly take precedence over their summaries. Not thread
 * safe: owned by the policy.
 */
final class ReachableNodes {

    private final NodeName self;
    private final Peers peers;
    private final FleetState state;

    ReachableNodes(NodeName self, Peers peers, FleetState state) {
        this.self = self;
        this.peers = peers;
        this.state = state;
    }

    boolean contains(long now, NodeName node) {
        return node.equals(self)
                || peers.isReachable(node)
                        && (peers.isRecentlyHeard(now, node) || state.isListed(node) && !state.isLeaving(node));
    }

    /**
     * Returns whether a node may get work that no other node can take: it has just announced its planned stop, or no
     * node has recently received anything from it but its connection stands.
     */
    boolean containsAsLastResort(long now, NodeName node) {
        return node.equals(self) || peers.isReachable(node) || peers.isJustLeaving(now, node);
    }
}
