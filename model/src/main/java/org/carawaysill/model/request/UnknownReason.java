package org.carawaysill.model.request;

/**
 * Why it is not known whether a request ran; each has its own counter.
 *
 * <p>Immutable and thread safe.
 */
public enum UnknownReason implements Counted {
    /** The deadline passed after the request had been handed to a copy. */
    DEADLINE,
    /** The connection to the other node was lost after the request had been written to it. */
    PEER_LOST,
    /** The connection to the local copy was lost after a part of the request had been written. */
    COPY_LOST,
    /** The local copy's process ended while it ran the request. */
    COPY_CRASHED,
    /** The local copy's process ended because of the request. */
    QUARANTINED,
    /** The local copy's answer ended before it was complete. */
    TRUNCATED,
    /** This node started after the identifier was minted, so an earlier run can't be ruled out. */
    RESTARTED,
    /** The identifier was minted at a time for which this node can't vouch: an earlier run may have been forgotten. */
    IDENTIFIER_TIME,
    /** The node that alone knows whether it ran can't be reached; this attempt was not run. */
    HOLDER_UNREACHABLE,
    /** This node has no lease, so another may have run the identifier; this attempt was not run. */
    NO_LEASE,
    /** The same identifier was handed to a copy before, and its answer is not known. */
    EARLIER_ATTEMPT;

    @Override
    public String family() {
        return "unknown";
    }
}
