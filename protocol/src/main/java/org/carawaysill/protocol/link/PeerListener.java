package org.carawaysill.protocol.link;

import org.carawaysill.model.identity.NodeName;
import org.carawaysill.policy.message.PeerMessage;

/**
 * Hears what a {@link PeerLink} reports.
 *
 * <p>Invariants that the link keeps: for each peer, {@link #connected} and {@link #lost} alternate, beginning with
 * {@link #connected}; {@link #received} comes only between the two; {@link #unsent} for a message that was accepted for a
 * connection comes before the {@link #lost} of that connection.
 *
 * <p>Thread safety: called on the link's event loop thread, except that {@link #unsent} is called on the sender's thread
 * when the ring is full or the link is closed. Implementations are thread safe, must not block and must not throw.
 */
public interface PeerListener {

    /**
     * A connection to a peer is ready for messages both ways.
     *
     * @param peer the other node
     * @param incarnation the start time of its process in milliseconds since 1970
     */
    void connected(NodeName peer, long incarnation);

    /**
     * The connection to a peer ended. Messages sent on it and not reported as unsent may have arrived or not.
     *
     * @param peer the other node
     */
    void lost(NodeName peer);

    /**
     * A message arrived whole and well formed.
     *
     * @param from the node that greeted on this connection
     * @param message the message
     */
    void received(NodeName from, PeerMessage message);

    /**
     * A message was not sent: no byte of it was given to the operating system.
     *
     * @param peer the node that it was meant for
     * @param message the message
     */
    void unsent(NodeName peer, PeerMessage message);

    /**
     * A connection or an attempt to connect went wrong.
     *
     * @param fault what went wrong
     */
    void fault(LinkFault fault);
}
