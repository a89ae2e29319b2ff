package org.carawaysill.policy.distribution;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.ServiceName;

/**
 * Tracks which documents the connected nodes follow, their known versions, and when each node was last heard from.
 *
 * <p>Invariant: only connected nodes have versions, in the order of their names. Not thread safe: one thread owns it.
 */
final class PeerVersions {

    private final Map<NodeName, Peer> peers = new TreeMap<>();
    private final Set<NodeName> hasReported = new HashSet<>();

    void connected(long now, NodeName node) {
        peers.put(node, new Peer(now));
    }

    void lost(NodeName node) {
        peers.remove(node);
    }

    void recordContact(long now, NodeName node) {
        Peer peer = peers.get(node);
        if (peer != null) {
            peer.lastHeardNanos = now;
        }
    }

    /**
     * Records the versions that a node reported.
     *
     * @param node the node
     * @param versions its versions by service, which replace assumed ones
     */
    void recordVersions(NodeName node, Map<ServiceName, Long> versions) {
        hasReported.add(node);
        Peer peer = peers.get(node);
        if (peer != null) {
            peer.versions.putAll(versions);
        }
    }

    /**
     * Records a version that a node has or is about to receive.
     *
     * @param node the node
     * @param service the document's service
     * @param version the version
     */
    void recordAssumedVersion(NodeName node, ServiceName service, long version) {
        Peer peer = peers.get(node);
        if (peer != null) {
            peer.versions.merge(service, version, Math::max);
        }
    }

    boolean connected(NodeName node) {
        return peers.containsKey(node);
    }

    /**
     * Returns whether a node has reported its versions since this process started, even if it is no longer connected.
     */
    boolean hasReported(NodeName node) {
        return hasReported.contains(node);
    }

    List<NodeName> heardFromSince(long since, Collection<NodeName> nodes) {
        return nodes.stream().filter(node -> heardFromSince(since, node)).toList();
    }

    boolean heardFromSince(long since, NodeName node) {
        Peer peer = peers.get(node);
        return peer != null && peer.lastHeardNanos >= since;
    }

    OptionalLong version(NodeName node, ServiceName service) {
        Peer peer = peers.get(node);
        Long version = peer == null ? null : peer.versions.get(service);
        return version == null ? OptionalLong.empty() : OptionalLong.of(version);
    }

    List<NodeName> following(ServiceName service, Predicate<Long> version) {
        return peers.entrySet().stream()
                .filter(entry -> {
                    Long known = entry.getValue().versions.get(service);
                    return known != null && version.test(known);
                })
                .map(Map.Entry::getKey)
                .toList();
    }

    private static final class Peer {

        private final Map<ServiceName, Long> versions = new HashMap<>();
        private long lastHeardNanos;

        private Peer(long now) {
            lastHeardNanos = now;
        }
    }
}
