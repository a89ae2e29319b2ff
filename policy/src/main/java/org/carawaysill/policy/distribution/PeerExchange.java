package org.carawaysill.policy.distribution;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.carawaysill.model.configuration.CopyEntry;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.policy.effect.Effect;
import org.carawaysill.policy.message.PeerMessage.ConfigurationChange;
import org.carawaysill.policy.message.PeerMessage.ConfigurationWanted;

/**
 * Exchanges documents with other nodes: pushes small changes to nodes with older versions, and requests newer versions.
 *
 * <p>A lost push is repaired by the versions in the next heartbeat, which its receiver compares with its own. Not
 * thread safe: one thread owns it.
 */
final class PeerExchange {

    /**
     * Larger changes are not pushed, since a node may receive the same one from several nodes; it requests the change
     * from one of them instead.
     */
    private static final int MAX_PUSH_BYTES = 4_096;

    /** Slightly more than three heartbeat intervals within a service of up to {@link #MAX_NODES_AT_BASE_INTERVAL} nodes. */
    private static final long SILENCE_LIMIT_NANOS = Duration.ofMillis(3_500).toNanos();

    /** Slightly more than three heartbeat intervals between services. */
    private static final long CALLED_SILENCE_LIMIT_NANOS =
            Duration.ofSeconds(10).toNanos();

    /** In a service with more nodes than this, nodes send heartbeats less often. */
    private static final int MAX_NODES_AT_BASE_INTERVAL = 32;

    private final DocumentSet documents;
    private final RandomGenerator random;
    private final PeerVersions peers = new PeerVersions();
    private final PendingRequests requests = new PendingRequests();

    PeerExchange(DocumentSet documents, RandomGenerator random) {
        this.documents = documents;
        this.random = random;
    }

    void connected(long now, NodeName peer) {
        peers.connected(now, peer);
    }

    void lost(NodeName peer) {
        peers.lost(peer);
        requests.lost(peer);
    }

    void recordContact(long now, NodeName peer) {
        peers.recordContact(now, peer);
    }

    boolean hasReported(NodeName peer) {
        return peers.hasReported(peer);
    }

    /** Returns the nodes of the own service that were heard from recently. */
    List<NodeName> nodesInContact(long now) {
        List<NodeName> nodes = documents.newestOwn().stream()
                .flatMap(own -> own.copies().stream())
                .map(CopyEntry::node)
                .toList();
        long silence =
                SILENCE_LIMIT_NANOS * Math.max(nodes.size(), MAX_NODES_AT_BASE_INTERVAL) / MAX_NODES_AT_BASE_INTERVAL;
        return peers.heardFromSince(now - silence, nodes);
    }

    /**
     * Returns whether any node of a called service was heard from recently; such a node sends the service's document.
     */
    boolean isInContactWithCalled(long now, ServiceName service) {
        return documents.of(service).newest().stream()
                .flatMap(configuration -> configuration.copies().stream())
                .anyMatch(copy -> peers.heardFromSince(now - CALLED_SILENCE_LIMIT_NANOS, copy.node()));
    }

    /** Returns whether a node that was heard from recently has a newer version of any followed document. */
    boolean isBehind(long now) {
        return documents.followed().stream()
                .anyMatch(service -> !peers.heardFromSince(now - SILENCE_LIMIT_NANOS, nodesWithNewerVersion(service))
                        .isEmpty());
    }

    boolean isRequestPending(long now, ServiceName service) {
        return requests.pending(now, service);
    }

    private List<NodeName> nodesWithNewerVersion(ServiceName service) {
        return peers.following(service, documents.of(service)::isNewVersion);
    }

    /**
     * Records the versions of a heartbeat.
     *
     * @param from its sender
     * @param versions its versions by service
     * @return whether any of them is new to this node
     */
    boolean recordVersions(NodeName from, Map<ServiceName, Long> versions) {
        peers.recordVersions(from, versions);
        return versions.entrySet().stream()
                .anyMatch(entry -> documents.follows(entry.getKey())
                        && documents.of(entry.getKey()).isNewVersion(entry.getValue()));
    }

    /**
     * Requests each document of which other nodes have a newer version, from one of them at a time.
     *
     * @param now nanoseconds on the monotonic clock
     * @return the requests
     */
    List<Effect> requestNewerVersions(long now) {
        List<Effect> effects = new ArrayList<>();
        for (ServiceName service : documents.followed()) {
            List<NodeName> ahead = peers.heardFromSince(now - SILENCE_LIMIT_NANOS, nodesWithNewerVersion(service));
            if (!ahead.isEmpty() && !requests.pending(now, service)) {
                NodeName node = ahead.get(random.nextInt(ahead.size()));
                effects.add(request(now, node, service, documents.of(service).version()));
            }
        }
        return effects;
    }

    /**
     * Requests a document from a node.
     *
     * @param now nanoseconds on the monotonic clock
     * @param node the node
     * @param service the document's service
     * @param known the version that the answer may be based on; 0 for the whole document
     * @return the request
     */
    Effect request(long now, NodeName node, ServiceName service, long known) {
        requests.started(now, service, node);
        return new Effect.SendToPeer(node, new ConfigurationWanted(service, known));
    }

    /**
     * Answers a node's request.
     *
     * @param from the node
     * @param wanted the request
     * @return the change or the document, if this node has a newer one
     */
    Optional<Effect> answer(NodeName from, ConfigurationWanted wanted) {
        if (!documents.follows(wanted.service())) {
            return Optional.empty();
        }
        FollowedDocument document = documents.of(wanted.service());
        peers.recordAssumedVersion(from, wanted.service(), wanted.knownVersion());
        return document.history().update(wanted.knownVersion()).map(update -> {
            peers.recordAssumedVersion(from, wanted.service(), document.version());
            return new Effect.SendToPeer(from, update);
        });
    }

    /**
     * Records that a node sent a version of a document.
     *
     * @param from the node
     * @param service the document's service
     * @param version the version
     */
    void recordReceived(NodeName from, ServiceName service, long version) {
        peers.recordAssumedVersion(from, service, version);
        requests.answered(service, from);
    }

    /** Pushes a document's newest version, as a small change, to the nodes that are known to have an older one. */
    List<Effect> push(ServiceName service) {
        FollowedDocument document = documents.of(service);
        List<Effect> effects = new ArrayList<>();
        for (NodeName peer : peers.following(service, version -> version < document.version())) {
            long known = peers.version(peer, service).orElse(0L);
            document.history().change(known).filter(PeerExchange::isSmall).ifPresent(change -> {
                peers.recordAssumedVersion(peer, service, document.version());
                effects.add(new Effect.SendToPeer(peer, change));
            });
        }
        return effects;
    }

    private static boolean isSmall(ConfigurationChange change) {
        return DocumentHistory.estimatedSize(change) <= MAX_PUSH_BYTES;
    }

    /**
     * Returns the versions to send in a heartbeat to a node. Nodes of the own service follow the same documents; a node
     * of a called service needs only the version of its own service; any other node may be a caller, which needs the
     * version of this service.
     *
     * @param peer the receiver
     * @return the version by service; 0 if this node has none yet
     */
    Map<ServiceName, Long> versionsFor(NodeName peer) {
        Map<ServiceName, Long> versions = new TreeMap<>();
        for (ServiceName service : documents.followed()) {
            if (documents.hasCopy(documents.own(), peer) || documents.hasCopy(service, peer)) {
                versions.put(service, documents.of(service).version());
            }
        }
        if (versions.isEmpty()) {
            versions.put(documents.own(), documents.of(documents.own()).version());
        }
        return versions;
    }
}
