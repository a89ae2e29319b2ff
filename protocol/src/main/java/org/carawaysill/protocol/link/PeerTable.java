package org.carawaysill.protocol.link;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.carawaysill.model.identity.NodeName;
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
    private final Set<PeerConnection> all = new HashSet<>();
    private Consumer<NodeName> whenLost = _ -> {};
    private Optional<Runnable> whenEmpty = Optional.empty();
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
    void whenLost(Consumer<NodeName> action) {
        whenLost = action;
    }

    /** Encodes a message; a message sent to several peers in a row, such as a report, is encoded only once. */
    Frame frameOf(PeerMessage message) {
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

    void began(PeerConnection connection) {
        all.add(connection);
        if (whenEmpty.isPresent()) {
            connection.closeInOrder();
        }
    }

    /** Returns why a further connection of a peer must not be opened; empty if it may be. */
    Optional<LinkFaultKind> objection(LinkIdentity peer) {
        PeerConnection present = open.get(peer.name());
        if (present == null) {
            return Optional.empty();
        }
        long presentIncarnation = present.peer().orElseThrow().incarnation();
        if (presentIncarnation < peer.incarnation()) {
            return Optional.empty();
        }
        if (presentIncarnation > peer.incarnation()) {
            return Optional.of(LinkFaultKind.OLDER_INCARNATION);
        }
        present.probe();
        return Optional.of(LinkFaultKind.DUPLICATE);
    }

    /** Makes a connection the open one of its peer; ends that of an older process, if there is one. */
    void opened(PeerConnection connection, LinkIdentity peer) {
        PeerConnection present = open.get(peer.name());
        if (present != null) {
            present.end(LinkFaultKind.REPLACED, "by incarnation " + peer.incarnation());
        }
        open.put(peer.name(), connection);
        listener.connected(peer.name(), peer.incarnation());
    }

    /** Reports the end of a connection: first its unsent messages, then the loss. */
    void ended(PeerConnection connection, List<PeerMessage> unsent) {
        all.remove(connection);
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
        whenLost.accept(peer);
    }

    void received(NodeName from, PeerMessage message) {
        listener.received(from, message);
    }

    void unsent(NodeName peer, PeerMessage message) {
        listener.unsent(peer, message);
    }

    void fault(LinkFault fault) {
        counters.fault(fault.kind());
        listener.fault(fault);
    }

    void checkDraining() {
        long now = System.nanoTime();
        List.copyOf(open.values()).forEach(connection -> connection.checkDraining(now));
    }

    /** Closes every connection to a peer, including those still in the handshake. */
    void close(NodeName peer) {
        List.copyOf(all).stream().filter(connection -> connection.isWith(peer)).forEach(PeerConnection::closeInOrder);
    }

    /** Closes every connection, and any that starts later; runs the action once none is left. */
    void closeAll(Runnable action) {
        whenEmpty = Optional.of(action);
        List.copyOf(all).forEach(PeerConnection::closeInOrder);
        checkEmpty();
    }

    private void checkEmpty() {
        if (all.isEmpty()) {
            whenEmpty.ifPresent(Runnable::run);
        }
    }
}
