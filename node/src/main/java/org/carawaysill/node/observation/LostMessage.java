package org.carawaysill.node.observation;

/** What the node dropped; each has its own counter. Immutable and thread safe. */
public enum LostMessage {
    /** An answer to an exchange that had ended. */
    LATE_ANSWER,
    /** A request of another node that found the ring full; it was refused. */
    PEER_REQUEST,
    /** Another message of a node that found the ring full. */
    PEER_NOTICE
}
