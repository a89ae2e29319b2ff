package org.carawaysill.node.observation;

/** The kinds of messages that the node drops. Each has its own counter. Immutable and thread safe. */
public enum LostMessage {
    /** An answer to an exchange that had already ended. */
    LATE_ANSWER,
    /** A request from another node that was refused because the ring was full. */
    PEER_REQUEST,
    /** Any other message from a node that was dropped because the ring was full. */
    PEER_NOTICE
}
