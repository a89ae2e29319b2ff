package org.carawaysill.policy.effect;

import java.util.Map;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.ServiceName;

/**
 * The state of a node that operators and metrics see.
 *
 * <p>Immutable and thread safe.
 *
 * @param inFlight the number of requests that the local copy is running
 * @param limit the estimated concurrency limit of the local copy
 * @param queued the number of requests that wait for a slot
 * @param cut the lowest priority level that is admitted
 * @param cutsBelow the same for each deeper service whose cut this node knows
 * @param draining whether the node is stopping
 * @param versions the configuration version in force by service
 * @param peers the state of each watched node
 * @param leaseHeld whether this node holds the lease that permits work that must run at most once
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
