package org.carawaysill.protocol.link;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.request.UnwrittenAnswers;
import org.carawaysill.policy.message.PeerMessage;
import org.carawaysill.protocol.codec.PeerMessageCodec;
import org.carawaysill.protocol.generated.Frame;

/**
 * The connections of this node, and which of them carries the messages of each peer.
 *
 * <p>Invariants: at most one connection to a peer is open, whichever side dialled it; of two processes with the same
 * name, the one that started later holds it; for each peer, the listener receives connected and lost alternately.
 * Confined to the event loop thread, except for {@link #block}, which any thread may call.
 */
final class PeerTable {

    private final LinkIdentity self;
    private final LinkLimits limits;
    private final PeerListener listener;
    private final RandomGenerator random;
    private final LinkCounters counters = new LinkCounters();
    private final Map<NodeName, PeerConnection> open = new HashMap<>();
    private final Set<PeerConnection> connections = new HashSet<>();

    /** Accepted connections whose other side has not said who it is, the oldest first. */
    private final Set<PeerConnection> unknown = new LinkedHashSet<>();

    private Consumer<NodeName> onLost = _ -> {};
    private Optional<Runnable> onEmpty = Optional.empty();
    private Optional<Encoded> lastEncoded = Optional.empty();
    private volatile Set<NodeName> blocked = Set.of();

    PeerTable(LinkIdentity self, LinkLimits limits, PeerListener listener, RandomGenerator random) {
        this.self = self;
        this.limits = limits;
        this.listener = listener;
        this.random = random;
    }

    LinkIdentity self() {
        return self;
    }

    LinkLimits limits() {
        return limits;
    }

    LinkCounters counters() {
        return counters;
    }

    long randomLong() {
        return random.nextLong();
    }

    /** Sets the action that dials a peer again after its connection was lost. */
    void onLost(Consumer<NodeName> action) {
        onLost = action;
    }

    /** Encodes a message; a message sent to several peers in a row, such as a report, is encoded only once. */
    Frame encode(PeerMessage message) {
        if (lastEncoded.isEmpty() || lastEncoded.get().message() != message) {
            lastEncoded = Optional.of(new Encoded(message, PeerMessageCodec.encode(message)));
        }
        return lastEncoded.get().frame();
    }

    private record Encoded(PeerMessage message, Frame frame) {}

    void block(Set<NodeName> peers) {
        blocked = Set.copyOf(peers);
    }

    boolean isBlocked(NodeName peer) {
        return blocked.contains(peer);
    }

    Optional<PeerConnection> open(NodeName peer) {
        return Optional.ofNullable(open.get(peer));
    }

    void add(PeerConnection connection) {
        connections.add(connection);
        if (connection.isAccepted()) {
            addUnknown(connection);
        }
        if (onEmpty.isPresent()) {
            connection.closeGracefully();
        }
    }

    /** Guards against connections that say nothing, which would use up the descriptors of the process. */
    private void addUnknown(PeerConnection connection) {
        if (unknown.size() >= limits.maximumUnknown()) {
            unknown.iterator().next().end(LinkFaultKind.NO_HELLO, "newer connections need its descriptor");
        }
        unknown.add(connection);
    }

    /** Notes that the other side of a connection has said who it is. */
    void identified(PeerConnection connection) {
        unknown.remove(connection);
    }

    /** Returns why a further connection of a peer must not be opened; empty if it may be. */
    Optional<LinkFaultKind> refusalReason(LinkIdentity peer) {
        PeerConnection existing = open.get(peer.name());
        if (existing == null) {
            return Optional.empty();
        }
        long existingIncarnation = existing.peer().orElseThrow().incarnation();
        if (existingIncarnation < peer.incarnation()) {
            return Optional.empty();
        }
        if (existingIncarnation > peer.incarnation()) {
            return Optional.of(LinkFaultKind.OLDER_INCARNATION);
        }
        existing.probe();
        return Optional.of(LinkFaultKind.DUPLICATE);
    }

    /** Makes a connection the open one of its peer; ends that of an older process, if there is one. */
    void opened(PeerConnection connection, LinkIdentity peer) {
        PeerConnection existing = open.get(peer.name());
        if (existing != null) {
            existing.end(LinkFaultKind.REPLACED, "by incarnation " + peer.incarnation());
        }
        open.put(peer.name(), connection);
        listener.connected(peer.name(), peer.incarnation());
    }

    /** Reports the end of a connection: first its unsent messages, then the loss. */
    void ended(PeerConnection connection, List<PeerMessage> unsent) {
        connections.remove(connection);
        unknown.remove(connection);
        connection
                .peer()
                .map(LinkIdentity::name)
                .filter(name -> open.remove(name, connection))
                .ifPresent(name -> reportLoss(name, unsent));
        checkEmpty();
    }

    private void reportLoss(NodeName peer, List<PeerMessage> unsent) {
        unsent.forEach(message -> listener.unsent(peer, message));
        listener.lost(peer);
        onLost.accept(peer);
    }

    void received(NodeName from, PeerMessage message) {
        listener.received(from, message);
    }

    void unsent(NodeName peer, PeerMessage message) {
        listener.unsent(peer, message);
    }

    void fault(LinkFault fault) {
        counters.countFault(fault.kind());
        listener.fault(fault);
    }

    void checkDraining() {
        long now = System.nanoTime();
        List.copyOf(open.values()).forEach(connection -> connection.checkDraining(now));
    }

    UnwrittenAnswers unwritten() {
        return connections.stream()
                .map(PeerConnection::unwritten)
                .reduce(UnwrittenAnswers.NONE, UnwrittenAnswers::plus);
    }

    /** Closes every connection to a peer, including those still in the handshake. */
    void close(NodeName peer) {
        List.copyOf(connections).stream()
                .filter(connection -> connection.isConnectionTo(peer))
                .forEach(PeerConnection::closeGracefully);
    }

    /** Closes every connection, and any that starts later; runs the action once none is left. */
    void closeAll(Runnable action) {
        onEmpty = Optional.of(action);
        List.copyOf(connections).forEach(PeerConnection::closeGracefully);
        checkEmpty();
    }

    private void checkEmpty() {
        if (connections.isEmpty()) {
            onEmpty.ifPresent(Runnable::run);
        }
    }
}
