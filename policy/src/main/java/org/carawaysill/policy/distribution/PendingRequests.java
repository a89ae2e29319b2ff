package org.carawaysill.policy.distribution;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.ServiceName;

/**
 * Tracks the documents that this node has requested from other nodes.
 *
 * <p>Invariant: each document is requested from one node at a time. Not thread safe: one thread owns it.
 */
final class PendingRequests {

    /**
     * After this time a document is requested from another node, since the first one may have crashed or become
     * unreachable.
     */
    private static final long TIMEOUT_NANOS = Duration.ofSeconds(1).toNanos();

    private final Map<ServiceName, Request> pending = new HashMap<>();

    boolean pending(long now, ServiceName service) {
        Request request = pending.get(service);
        return request != null && now < request.expiresNanos;
    }

    void started(long now, ServiceName service, NodeName node) {
        pending.put(service, new Request(node, now + TIMEOUT_NANOS));
    }

    void answered(ServiceName service, NodeName node) {
        pending.computeIfPresent(service, (_, request) -> request.node.equals(node) ? null : request);
    }

    void lost(NodeName node) {
        pending.values().removeIf(request -> request.node.equals(node));
    }

    private record Request(NodeName node, long expiresNanos) {}
}
