package org.carawaysill.node.observation;

/** The two HTTP servers on which requests reach a node. Immutable and thread safe. */
public enum ExchangeSide {
    /** Callers' requests to the service of the local copy. */
    INGRESS,
    /** The local copy's own calls to deeper services. */
    EGRESS
}
