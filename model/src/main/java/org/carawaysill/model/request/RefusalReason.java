package org.carawaysill.model.request;

/**
 * Why a request was not run; each has its own counter.
 *
 * <p>Immutable and thread safe.
 */
public enum RefusalReason implements Counted {
    /** The bounded ring into the policy, or the memory kept for bodies, was full. */
    RING_FULL,
    /** No operation of the published configuration matches. */
    UNKNOWN_OPERATION,
    /** No service of that name is in force here. */
    UNKNOWN_SERVICE,
    /** No configuration is in force yet. */
    NO_CONFIGURATION,
    /** The request was malformed or too large. */
    BAD_REQUEST,
    /** It presents no key, and its route requires one. */
    KEY_MISSING,
    /** No organisation holds the key that it presents. */
    KEY_UNKNOWN,
    /** No organisation is known to hold its key, and the configuration in force here may be outdated. */
    KEY_UNVERIFIED,
    /** Its organisation has used up its allowance. */
    OVER_ALLOWANCE,
    /** The local copy's queue was full of requests that matter as much or more. */
    QUEUE_FULL,
    /** A more important request took its place in the queue. */
    EVICTED,
    /** It could not finish before its deadline. */
    DEADLINE,
    /** This service refuses requests of its priority. */
    OVERLOAD,
    /** A deeper service that it would reach refuses requests of its priority. */
    OVERLOAD_BELOW,
    /** Its retry credits are spent. */
    CREDITS_SPENT,
    /** The retry budget of its caller or of the service is spent. */
    BUDGET_SPENT,
    /** No live copy of the service is known. */
    NO_COPY,
    /** The other node could not be reached, and nothing of the request was written to it. */
    PEER_UNREACHABLE,
    /** The local copy could not be reached, and nothing of the request was written to it. */
    COPY_UNREACHABLE,
    /** The copy itself said that it did not run the request. */
    COPY_REFUSED,
    /** Copies crashed because of it. */
    QUARANTINED,
    /** A copy crashed while it ran this request and others; it may run at another copy than the one asked. */
    SUSPECTED,
    /** The node is stopping. */
    DRAINING,
    /** The node that alone may run this request cannot be reached. */
    HOLDER_UNREACHABLE,
    /** The node holds no lease under which it may run work that must run at most once. */
    NO_LEASE,
    /** The holder's table has no room for another request that must run at most once. */
    HOLDER_FULL,
    /** The request's identifier was minted before this node could vouch for it. */
    IDENTIFIER_TOO_OLD,
    /** The same identifier is being run, or came with another content. */
    DUPLICATE,
    /** The caller went away before the request was run. */
    CANCELLED;

    @Override
    public String family() {
        return "refusal";
    }
}
