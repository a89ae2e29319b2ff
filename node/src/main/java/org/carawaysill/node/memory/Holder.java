package org.carawaysill.node.memory;

/** What holds memory for clients. Immutable and thread safe. */
public enum Holder {
    /** Open connections. */
    CONNECTIONS,
    /** Bytes that have been read and form no complete head yet. */
    INPUT,
    /** Heads of requests that are not answered yet, and what the node records of each request. */
    REQUESTS,
    /** Bodies that arrive, and those of requests that are not answered yet. */
    BODIES,
    /** Answers that clients have not read yet. */
    ANSWERS
}
