package org.carawaysill.node.observation;

/** Which side ended a connection to the local copy, and why. Immutable and thread safe. */
public enum ConnectionEnd {
    /** The copy closed it. */
    COPY_CLOSED,
    /** The connection was reset. */
    COPY_RESET,
    /** The request could not be written. */
    WRITE_FAILED,
    /** This node closed it because the received bytes are not an answer to the request. */
    BAD_ANSWER,
    /** This node closed it because the copy sent more bytes than an answer may have, or than there was memory for. */
    ANSWER_TOO_LARGE,
    /** This node closed it because the request was cancelled. */
    CANCELLED,
    /** This node closed it because no request needs it. */
    IDLE,
    /** This node closed it because the node stops. */
    NODE_STOPS;

    /**
     * Returns whether this node closed the connection for a reason of its own.
     *
     * @return whether the end says nothing about the copy's process
     */
    public boolean isOfThisNode() {
        return switch (this) {
            case COPY_CLOSED, COPY_RESET, WRITE_FAILED -> false;
            case BAD_ANSWER, ANSWER_TOO_LARGE, CANCELLED, IDLE, NODE_STOPS -> true;
        };
    }
}
