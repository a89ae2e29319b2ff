package org.carawaysill.node.observation;

/** Why the node closed an HTTP connection; each has its own counter. Immutable and thread safe. */
public enum ConnectionFault {
    /** More connections are open than the node serves. */
    TOO_MANY,
    /** No request began for too long, or its header did not end in time. */
    SLOW_HEADER,
    /** The body of a request did not end in time. */
    SLOW_BODY,
    /** The answer was not read in time. */
    SLOW_READER,
    /** What came is no HTTP, or breaks its framing. */
    BROKEN,
    /** The local copy broke the protocol or the connection. */
    COPY_BROKEN
}
