package org.carawaysill.node.observation;

/** How an HTTP exchange ended, as its other side saw it. Immutable and thread safe. */
public enum ExchangeResult {
    /** A copy's complete answer was written. */
    ANSWERED,
    /** It was told that the request was not run. */
    NOT_RUN,
    /** It was told that the request may have run. */
    UNKNOWN,
    /** It closed the connection before the answer. */
    CLOSED
}
