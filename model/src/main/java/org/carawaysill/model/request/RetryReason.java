package org.carawaysill.model.request;

/**
 * The reasons why a node retried a request; each has its own counter.
 *
 * <p>Immutable and thread safe.
 */
public enum RetryReason implements Counted {
    /** The first target refused the request without running it. */
    NOT_RUN,
    /** The first copy takes no more requests at present by the limit that it names. */
    COPY_RATE_LIMITED,
    /** The first target could not be reached. */
    UNREACHABLE,
    /** The answer was lost, and the request is idempotent. */
    ANSWER_LOST,
    /** The copy answered with an error, and the request is idempotent. */
    COPY_ERROR;

    @Override
    public String family() {
        return "retry";
    }
}
