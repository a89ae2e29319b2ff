package org.carawaysill.node.observation;

/** The two HTTP servers through which requests reach a node. Immutable and thread safe. */
public enum ExchangeSide {
    /** Callers' requests to the local copy's service. */
    INGRESS,
    /** The local copy's own calls to deeper services. */
    EGRESS
}
