package org.carawaysill.node.observation;

/** Why the node closed an HTTP connection. Each reason has its own counter. Immutable and thread safe. */
public enum ConnectionFault {
    /** More connections are open than the node serves. */
    TOO_MANY,
    /** What clients hold fills its memory, and this connection had no open request, or left the most answers unread. */
    MEMORY_FULL,
    /** The connection was idle for too long, or a request head was not complete in time. */
    SLOW_HEADER,
    /** The request body was not complete in time. */
    SLOW_BODY,
    /** The client did not read its answer in time. */
    SLOW_READER,
    /** The received bytes are not valid HTTP or violate its framing. */
    BROKEN,
    /** The local copy violated the protocol or broke the connection. */
    COPY_BROKEN
}
