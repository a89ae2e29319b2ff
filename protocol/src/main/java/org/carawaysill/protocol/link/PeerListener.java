package org.carawaysill.protocol.link;

import org.carawaysill.model.identity.NodeName;
import org.carawaysill.policy.message.PeerMessage;

/**
 * Receives the events of a {@link PeerLink}.
 *
 * <p>Invariants that the link maintains: for each peer, {@link #connected} and {@link #lost} alternate, beginning with
 * {@link #connected}; {@link #received} comes only between the two; {@link #unsent} for a message that was accepted for
 * a connection comes before the {@link #lost} of that connection.
 *
 * <p>Thread safety: called on the link's event loop thread, except that {@link #unsent} is called on the sender's thread
 * when the ring is full or the link is closed. Implementations are thread safe, must not block and must not throw.
 */
public interface PeerListener {

    /**
     * Called when a connection to a peer is ready for messages both ways.
     *
     * @param peer the other node
     * @param incarnation the start time of its process in milliseconds since 1970
     */
    void connected(NodeName peer, long incarnation);

    /**
     * Called when the connection to a peer has ended. Messages sent on it and not reported as unsent may or may not
     * have arrived.
     *
     * @param peer the other node
     */
    void lost(NodeName peer);

    /**
     * Called when a complete, well-formed message has arrived.
     *
     * @param from the node that identified itself in the handshake of this connection
     * @param message the message
     */
    void received(NodeName from, PeerMessage message);

    /**
     * Called when a message was not sent: no byte of it was passed to the operating system.
     *
     * @param peer the intended receiver
     * @param message the message
     */
    void unsent(NodeName peer, PeerMessage message);

    /**
     * Called when a connection or an attempt to connect failed.
     *
     * @param fault what went wrong
     */
    void fault(LinkFault fault);
}
