package org.carawaysill.policy.membership;

import java.time.Duration;
import java.util.Set;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.policy.detection.FixedTimeout;

/**
 * How often each connected node gets a heartbeat, and when its silence is suspicious.
 *
 * <p>Invariant: the heartbeats of one node per second have a bound that the number of its peers doesn't change. Immutable
 * and thread safe.
 *
 * @param settings the intervals and timeouts for few nodes
 * @param ownService the nodes of the own service, this one included
 * @param others how many nodes of other services are connected
 */
record HeartbeatPlan(MembershipSettings settings, Set<NodeName> ownService, int others) {

    /** Up to this many nodes get heartbeats at the set interval; beyond it the interval grows with their number. */
    private static final int NODES_AT_INTERVAL = 32;

    HeartbeatPlan {
        ownService = Set.copyOf(ownService);
    }

    long silenceNanos(NodeName node) {
        return isOwn(node)
                ? stretched(settings.interval(), ownService.size())
                : stretched(settings.intervalBetweenServices(), others);
    }

    /** Heartbeats carry the configuration versions and a copy's load, also where other messages show life. */
    long longestNanos(NodeName node) {
        return isOwn(node) ? 2 * silenceNanos(node) : silenceNanos(node);
    }

    FixedTimeout detector(NodeName node) {
        return new FixedTimeout(Duration.ofNanos(
                isOwn(node)
                        ? stretched(settings.timeout(), ownService.size())
                        : stretched(settings.timeoutBetweenServices(), others)));
    }

    private boolean isOwn(NodeName node) {
        return ownService.contains(node);
    }

    private static long stretched(Duration duration, int nodes) {
        return duration.toNanos() * Math.max(nodes, NODES_AT_INTERVAL) / NODES_AT_INTERVAL;
    }
}
