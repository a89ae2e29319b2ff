package org.carawaysill.model.request;

/**
 * The reasons why it is unknown whether a request ran; each has its own counter.
 *
 * <p>Immutable and thread safe.
 */
public enum UnknownReason implements Counted {
    /** The deadline passed after the request had been sent to a copy. */
    DEADLINE,
    /** The connection to the other node was lost after the request had been written to it. */
    PEER_LOST,
    /** The time for a planned stop of this node was over before the answer came. */
    NODE_STOPS,
    /** The connection to the local copy was lost after a part of the request had been written. */
    COPY_LOST,
    /** The local copy's process ended while it ran the request. */
    COPY_CRASHED,
    /** The local copy's process ended because of the request. */
    QUARANTINED,
    /** The local copy's answer ended before it was complete. */
    TRUNCATED,
    /** This node started after the identifier was created, so an earlier run can't be ruled out. */
    RESTARTED,
    /**
     * The identifier was created at a time for which this node has no complete record: an earlier run may have been
     * dropped from its table.
     */
    IDENTIFIER_TIME,
    /** The only node that knows whether the request ran can't be reached; this attempt was not run. */
    HOLDER_UNREACHABLE,
    /** This node has no lease, so another node may have run the request; this attempt was not run. */
    NO_LEASE,
    /** A request with the same identifier was sent to a copy before, and its answer is unknown. */
    EARLIER_ATTEMPT;

    @Override
    public String family() {
        return "unknown";
    }
}
