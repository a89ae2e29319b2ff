package org.carawaysill.node.observation;

/** Who ended a connection to the local copy, and why. Immutable and thread safe. */
public enum ConnectionEnd {
    /** The copy closed it. */
    COPY_CLOSED,
    /** It was reset. */
    COPY_RESET,
    /** The request could not be written. */
    WRITE_FAILED,
    /** This node closed it: what came on it is no answer to the request. */
    BAD_ANSWER,
    /** This node closed it: the request was cancelled. */
    CANCELLED,
    /** This node closed it: no request needs it. */
    IDLE,
    /** This node closed it: the node stops. */
    NODE_STOPS
}
