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
 * Exchanges documents with other nodes: pushes small changes to those that lag, asks those that are ahead.
 *
 * <p>A push that is lost is made good by the versions in the next heartbeat, which the node that lags compares with its
 * own. Not thread safe: one thread owns it.
 */
final class PeerExchange {

    /** Larger changes are not pushed, since a node may get the same one from several; it asks one of them instead. */
    private static final int LARGEST_PUSH_BYTES = 4_096;

    /** A little above three heartbeats within a service of up to {@link #NODES_AT_INTERVAL} nodes. */
    private static final long SILENCE_NANOS = Duration.ofMillis(3_500).toNanos();

    /** A little above three heartbeats between services. */
    private static final long SILENCE_OF_CALLED_NANOS = Duration.ofSeconds(10).toNanos();

    /** Beyond this many nodes of a service they send heartbeats less often. */
    private static final int NODES_AT_INTERVAL = 32;

    private final DocumentSet documents;
    private final RandomGenerator random;
    private final PeerVersions peers = new PeerVersions();
    private final Pulls pulls = new Pulls();

    PeerExchange(DocumentSet documents, RandomGenerator random) {
        this.documents = documents;
        this.random = random;
    }

    void connected(long now, NodeName peer) {
        peers.connected(now, peer);
    }

    void lost(NodeName peer) {
        peers.lost(peer);
        pulls.lost(peer);
    }

    void heard(long now, NodeName peer) {
        peers.heard(now, peer);
    }

    boolean answered(NodeName peer) {
        return peers.answered(peer);
    }

    /** The nodes of the own service that are heard. */
    List<NodeName> neighbours(long now) {
        List<NodeName> nodes = documents.newestOwn().stream()
                .flatMap(own -> own.copies().stream())
                .map(CopyEntry::node)
                .toList();
        long silence = SILENCE_NANOS * Math.max(nodes.size(), NODES_AT_INTERVAL) / NODES_AT_INTERVAL;
        return peers.heardSince(now - silence, nodes);
    }

    /** Whether any node of a called service is heard, which then brings its document. */
    boolean hearsCalled(long now, ServiceName service) {
        return documents.of(service).newest().stream()
                .flatMap(configuration -> configuration.copies().stream())
                .anyMatch(copy -> peers.heardSince(now - SILENCE_OF_CALLED_NANOS, copy.node()));
    }

    /** Whether a node that is heard has a newer version of any followed document. */
    boolean behind(long now) {
        return documents.followed().stream()
                .anyMatch(service ->
                        !peers.heardSince(now - SILENCE_NANOS, ahead(service)).isEmpty());
    }

    boolean pulling(long now, ServiceName service) {
        return pulls.open(now, service);
    }

    private List<NodeName> ahead(ServiceName service) {
        return peers.following(service, documents.of(service)::isNews);
    }

    /**
     * Takes in the versions of a heartbeat.
     *
     * @param from its sender
     * @param versions its versions by service
     */
    void told(NodeName from, Map<ServiceName, Long> versions) {
        peers.told(from, versions);
    }

    /**
     * Asks for each document that another node has in a newer version, one of those nodes at a time.
     *
     * @param now nanoseconds on the monotonic clock
     * @return the questions
     */
    List<Effect> askForWhatOthersHave(long now) {
        List<Effect> effects = new ArrayList<>();
        for (ServiceName service : documents.followed()) {
            List<NodeName> ahead = peers.heardSince(now - SILENCE_NANOS, ahead(service));
            if (!ahead.isEmpty() && !pulls.open(now, service)) {
                NodeName node = ahead.get(random.nextInt(ahead.size()));
                effects.add(ask(now, node, service, documents.of(service).version()));
            }
        }
        return effects;
    }

    /**
     * Asks a node for a document.
     *
     * @param now nanoseconds on the monotonic clock
     * @param node the node
     * @param service the document's service
     * @param known the version that the answer may build on, 0 for the whole document
     * @return the question
     */
    Effect ask(long now, NodeName node, ServiceName service, long known) {
        pulls.opened(now, service, node);
        return new Effect.SendToPeer(node, new ConfigurationWanted(service, known));
    }

    /**
     * Answers a node that asks.
     *
     * @param from the node
     * @param wanted its question
     * @return the change or the document, if this node has a newer one
     */
    Optional<Effect> answer(NodeName from, ConfigurationWanted wanted) {
        if (!documents.follows(wanted.service())) {
            return Optional.empty();
        }
        FollowedDocument document = documents.of(wanted.service());
        peers.assume(from, wanted.service(), wanted.knownVersion());
        return document.history().update(wanted.knownVersion()).map(update -> {
            peers.assume(from, wanted.service(), document.version());
            return new Effect.SendToPeer(from, update);
        });
    }

    /**
     * Notes that a node sent a version of a document.
     *
     * @param from the node
     * @param service the document's service
     * @param version the version
     */
    void received(NodeName from, ServiceName service, long version) {
        peers.assume(from, service, version);
        pulls.answered(service, from);
    }

    /** Pushes a document's newest version, as a small change, to the nodes that are known to lag. */
    List<Effect> push(ServiceName service) {
        FollowedDocument document = documents.of(service);
        List<Effect> effects = new ArrayList<>();
        for (NodeName peer : peers.following(service, version -> version < document.version())) {
            long known = peers.version(peer, service).orElse(0L);
            document.history().change(known).filter(PeerExchange::small).ifPresent(change -> {
                peers.assume(peer, service, document.version());
                effects.add(new Effect.SendToPeer(peer, change));
            });
        }
        return effects;
    }

    private static boolean small(ConfigurationChange change) {
        return DocumentHistory.size(change) <= LARGEST_PUSH_BYTES;
    }

    /**
     * Gives the versions that a heartbeat to a node carries. Nodes of the own service follow the same documents; a node of
     * a called service cares for its own one; any other may be a caller, which cares for this one.
     *
     * @param peer the receiver
     * @return the version by service, 0 where this node has none yet
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
