package org.carawaysill.policy.membership;

import java.time.Duration;
import java.util.Set;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.policy.detection.FixedTimeoutDetector;

/**
 * Computes the heartbeat interval and the suspicion timeout for each connected node.
 *
 * <p>Invariant: the number of heartbeats that a node sends per second has an upper bound that doesn't depend on the
 * number of its peers. Immutable and thread safe.
 *
 * @param settings the intervals and timeouts for up to 32 nodes
 * @param ownService the nodes of this node's service, including this node
 * @param others the number of connected nodes of other services
 */
record HeartbeatPlan(MembershipSettings settings, Set<NodeName> ownService, int others) {

    /**
     * Up to this many nodes get heartbeats at the configured interval; with more, the interval grows with their number.
     */
    private static final int NODES_AT_INTERVAL = 32;

    HeartbeatPlan {
        ownService = Set.copyOf(ownService);
    }

    long maximumSilenceNanos(NodeName node) {
        return isOwn(node)
                ? scaledNanos(settings.interval(), ownService.size())
                : scaledNanos(settings.intervalBetweenServices(), others);
    }

    /**
     * Returns the longest time between two heartbeats. It applies also while other messages show that this node is
     * alive, because heartbeats carry the configuration versions and the copy's load.
     */
    long maximumIntervalNanos(NodeName node) {
        return isOwn(node) ? 2 * maximumSilenceNanos(node) : maximumSilenceNanos(node);
    }

    FixedTimeoutDetector detector(NodeName node) {
        return new FixedTimeoutDetector(Duration.ofNanos(
                isOwn(node)
                        ? scaledNanos(settings.timeout(), ownService.size())
                        : scaledNanos(settings.timeoutBetweenServices(), others)));
    }

    private boolean isOwn(NodeName node) {
        return ownService.contains(node);
    }

    private static long scaledNanos(Duration duration, int nodes) {
        return duration.toNanos() * Math.max(nodes, NODES_AT_INTERVAL) / NODES_AT_INTERVAL;
    }
}
