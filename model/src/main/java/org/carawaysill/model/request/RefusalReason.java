package org.carawaysill.model.request;

/**
 * The reasons why a request was not run; each has its own counter.
 *
 * <p>Immutable and thread safe.
 */
public enum RefusalReason implements Counted {
    /** The policy's input ring, or the memory reserved for bodies, was full. */
    RING_FULL,
    /** No operation of the published configuration matches. */
    UNKNOWN_OPERATION,
    /** The node has no configuration in force for a service of that name. */
    UNKNOWN_SERVICE,
    /** No configuration is in force yet. */
    NO_CONFIGURATION,
    /** The request was malformed or too large. */
    BAD_REQUEST,
    /** The request has no key, and its route requires one. */
    KEY_MISSING,
    /** No organisation holds the key of the request. */
    KEY_UNKNOWN,
    /** No organisation is known to hold the key of the request, and the configuration in force may be outdated. */
    KEY_UNVERIFIED,
    /** The organisation has used up its allowance. */
    OVER_ALLOWANCE,
    /** The local copy's queue was full of requests of the same or greater importance. */
    QUEUE_FULL,
    /** The local copy names a limit of requests per second, which is used up for now. */
    COPY_RATE_LIMITED,
    /** A more important request replaced it in the queue. */
    EVICTED,
    /** The request could not finish before its deadline. */
    DEADLINE,
    /** This service refuses requests of its priority. */
    OVERLOAD,
    /** A service deeper in the call graph refuses requests of its priority. */
    OVERLOAD_BELOW,
    /** The retry credits of the request are spent. */
    CREDITS_SPENT,
    /** The retry budget of its caller or of the service is spent. */
    BUDGET_SPENT,
    /** No live copy of the service is known. */
    NO_COPY,
    /** The other node could not be reached, and no part of the request was written to it. */
    PEER_UNREACHABLE,
    /** The local copy could not be reached, and no part of the request was written to it. */
    COPY_UNREACHABLE,
    /** The copy itself reported that it did not run the request. */
    COPY_REFUSED,
    /** Copies crashed because of the request. */
    QUARANTINED,
    /** A copy crashed while it ran this request and others; another copy than the requested one may run it. */
    SUSPECTED,
    /** The node is stopping. */
    DRAINING,
    /** The only node that may run this request cannot be reached. */
    HOLDER_UNREACHABLE,
    /** The node holds no lease, which it needs for requests that must run at most once. */
    NO_LEASE,
    /** The holder's table has no room for another request that must run at most once. */
    HOLDER_FULL,
    /** The request's identifier was created at a time for which this node can't rule out an earlier run. */
    IDENTIFIER_TOO_OLD,
    /** A request with the same identifier is running, or had different content. */
    DUPLICATE,
    /** The caller disconnected before the request was run. */
    CANCELLED;

    @Override
    public String family() {
        return "refusal";
    }
}
