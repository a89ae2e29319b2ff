package org.carawaysill.node.observation;

/** How an HTTP exchange ended for its client. Immutable and thread safe. */
public enum ExchangeResult {
    /** A copy's complete answer was written. */
    ANSWERED,
    /** The answer stated that the request was not run. */
    NOT_RUN,
    /** The answer stated that the request may have run. */
    UNKNOWN,
    /** The client closed the connection before the answer. */
    CLOSED
}
