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
            handleHello(frame);
        } else {
            handleReply(frame);
        }
    }

    private void handleHello(Frame frame) {
        switch (HelloValidator.check(frame, table.self(), dialled)) {
            case HelloValidator.Result.Invalid invalid -> refuse(invalid.kind(), invalid.detail());
            case HelloValidator.Result.Valid valid
            when table.isBlocked(valid.peer().name()) ->
                // Dropped like all traffic of a blocked peer; the handshake then times out.
                table.counters().countBlocked();
            case HelloValidator.Result.Valid valid -> replyToHello(valid);
        }
    }

    private void replyToHello(HelloValidator.Result.Valid hello) {
        peer = Optional.of(hello.peer());
        if (!mayOpen(hello.peer())) {
            return;
        }
        if (dialled.isEmpty()) {
            connection.write(LinkFrames.hello(table.self(), hello.connection()));
        }
        if (table.self().selectsConnectionAgainst(hello.peer())) {
            connection.write(LinkFrames.ACCEPTED);
            connection.open(hello.peer());
        }
        connection.flush();
        // Must come last, since bytes already received pass through the new decoder immediately.
        connection.raiseFrameLimit();
    }

    private void handleReply(Frame frame) throws ProtocolFault {
        switch (frame.getKindCase()) {
            case ACCEPTED -> peer.filter(this::mayOpen).ifPresent(connection::open);
            case REFUSED ->
                refuse(LinkFaultKind.REFUSED_BY_PEER, frame.getRefused().getReason());
            default ->
                throw new ProtocolFault(
                        ProtocolFault.Kind.UNEXPECTED_FRAME, frame.getKindCase().name());
        }
    }

    private boolean mayOpen(LinkIdentity identity) {
        Optional<LinkFaultKind> refusalReason = table.refusalReason(identity);
        refusalReason.ifPresent(kind -> refuse(kind, "incarnation " + identity.incarnation()));
        return refusalReason.isEmpty();
    }

    private void refuse(LinkFaultKind kind, String detail) {
        if (kind != LinkFaultKind.REFUSED_BY_PEER) {
            connection.writeAndFlush(LinkFrames.refused(kind));
        }
        connection.end(kind, detail);
    }
}
