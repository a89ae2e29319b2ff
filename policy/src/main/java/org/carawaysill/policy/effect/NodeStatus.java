package org.carawaysill.policy.effect;

import java.util.Map;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.ServiceName;

/**
 * What operators see of a node.
 *
 * <p>Immutable and thread safe.
 *
 * @param inFlight requests at the local copy
 * @param limit the learned concurrency limit of the local copy
 * @param queued requests waiting for a slot
 * @param cut the lowest priority level that is admitted
 * @param cutsBelow the same for each deeper service that this node knows of
 * @param draining whether the node is stopping
 * @param versions the configuration version in force by service
 * @param peers the state of each watched node
 * @param leaseHeld whether this node may run work that must run at most once
 */
public record NodeStatus(
        int inFlight,
        int limit,
        int queued,
        int cut,
        Map<ServiceName, Integer> cutsBelow,
        boolean draining,
        Map<ServiceName, Long> versions,
        Map<NodeName, PeerState> peers,
        boolean leaseHeld) {

    public NodeStatus {
        cutsBelow = Map.copyOf(cutsBelow);
        versions = Map.copyOf(versions);
        peers = Map.copyOf(peers);
    }
}
