package org.carawaysill.policy.fleet;

import org.carawaysill.model.identity.NodeName;

/**
 * Which nodes may get work.
 *
 * <p>A node that nothing was sent to for long may be gone without a sign on its connection; those that hear its reports
 * know. What was heard from it here goes before what they say. Not thread safe: owned by the policy.
 */
final class Reach {

    private final NodeName self;
    private final Peers peers;
    private final FleetState state;

    Reach(NodeName self, Peers peers, FleetState state) {
        this.self = self;
        this.peers = peers;
        this.state = state;
    }

    boolean contains(long now, NodeName node) {
        return node.equals(self)
                || peers.inTouch(node)
                        && (peers.isHeardLately(now, node) || state.isListed(node) && !state.isLeaving(node));
    }

    /**
     * Returns whether a node may get work that nobody else can take: it has just said that it leaves, or nobody has heard of it
     * lately, but its connection stands.
     */
    boolean containsAsLastResort(long now, NodeName node) {
        return node.equals(self) || peers.inTouch(node) || peers.isJustLeaving(now, node);
    }
}
