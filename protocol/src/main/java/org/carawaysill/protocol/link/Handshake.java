package org.carawaysill.protocol.link;

import java.util.Optional;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.protocol.codec.ProtocolFault;
import org.carawaysill.protocol.generated.Frame;

/**
 * The handshake on one connection, until it may carry messages.
 *
 * <p>The dialling side sends its hello first and the other side replies. Then the node with the lesser name decides
 * whether this connection carries their messages, and sends an acceptance. Invariant: of two nodes, only one decides,
 * so that they never use different connections. Confined to the event loop thread.
 */
final class Handshake {

    private final PeerConnection connection;
    private final PeerTable table;
    private final Optional<NodeName> dialled;
    private Optional<LinkIdentity> peer = Optional.empty();

    Handshake(PeerConnection connection, PeerTable table, Optional<NodeName> dialled) {
        this.connection = connection;
        this.table = table;
        this.dialled = dialled;
    }

    /** Returns the peer, which is known once its hello has been received. */
    Optional<LinkIdentity> peer() {
        return peer;
    }

    void begin() {
        if (dialled.isPresent()) {
            connection.writeAndFlush(LinkFrames.hello(table.self(), table.randomLong()));
        }
    }

    void received(Frame frame) throws ProtocolFault {
        if (peer.isEmpty()) {
            greeted(frame);
        } else {
            answered(frame);
        }
    }

    private void greeted(Frame frame) {
        switch (Greeting.check(frame, table.self(), dialled)) {
            case Greeting.Result.Faulty faulty -> refuse(faulty.kind(), faulty.detail());
            case Greeting.Result.Greeted greeted
            when table.isBlocked(greeted.peer().name()) ->
                // Dropped like all traffic of a blocked peer; the handshake then times out.
                table.counters().blocked();
            case Greeting.Result.Greeted greeted -> greetBack(greeted);
        }
    }

    private void greetBack(Greeting.Result.Greeted greeted) {
        peer = Optional.of(greeted.peer());
        if (!mayOpen(greeted.peer())) {
            return;
        }
        if (dialled.isEmpty()) {
            connection.write(LinkFrames.hello(table.self(), greeted.connection()));
        }
        if (table.self().choosesAgainst(greeted.peer())) {
            connection.write(LinkFrames.ACCEPTED);
            connection.open(greeted.peer());
        }
        connection.flush();
        // Must come last, since bytes already received pass through the new decoder immediately.
        connection.admitLargeFrames();
    }

    private void answered(Frame frame) throws ProtocolFault {
        switch (frame.getKindCase()) {
            case ACCEPTED -> peer.filter(this::mayOpen).ifPresent(connection::open);
            case REFUSED ->
                refuse(LinkFaultKind.REFUSED_BY_PEER, frame.getRefused().getReason());
            default ->
                throw new ProtocolFault(
                        ProtocolFault.Kind.UNEXPECTED_FRAME, frame.getKindCase().name());
        }
    }

    private boolean mayOpen(LinkIdentity greeted) {
        Optional<LinkFaultKind> objection = table.objection(greeted);
        objection.ifPresent(kind -> refuse(kind, "incarnation " + greeted.incarnation()));
        return objection.isEmpty();
    }

    private void refuse(LinkFaultKind kind, String detail) {
        if (kind != LinkFaultKind.REFUSED_BY_PEER) {
            connection.writeAndFlush(LinkFrames.refused(kind));
        }
        connection.end(kind, detail);
    }
}
