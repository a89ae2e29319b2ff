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
final class Pulls {

    /**
     * After this time a document is requested from another node, since the first one may have crashed or become
     * unreachable.
     */
    private static final long TIMEOUT_NANOS = Duration.ofSeconds(1).toNanos();

    private final Map<ServiceName, Pull> open = new HashMap<>();

    boolean open(long now, ServiceName service) {
        Pull pull = open.get(service);
        return pull != null && now < pull.expiresNanos;
    }

    void opened(long now, ServiceName service, NodeName node) {
        open.put(service, new Pull(node, now + TIMEOUT_NANOS));
    }

    void answered(ServiceName service, NodeName node) {
        open.computeIfPresent(service, (_, pull) -> pull.node.equals(node) ? null : pull);
    }

    void lost(NodeName node) {
        open.values().removeIf(pull -> pull.node.equals(node));
    }

    private record Pull(NodeName node, long expiresNanos) {}
}
