package org.carawaysill.policy.admission;

/** How a request ended at the local copy. Immutable and thread safe. */
public enum Finish {
    /** The copy answered completely, with whatever status, unless it refused. */
    ANSWERED,
    /** The copy refused (503) or could not be reached. */
    FAILED,
    /** The request was written, and no complete answer came. */
    LOST
}
