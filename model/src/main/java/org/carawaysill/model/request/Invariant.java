package org.carawaysill.model.request;

/**
 * An invariant that the program checks at run time; each violation is counted.
 *
 * <p>Immutable and thread safe.
 */
public enum Invariant implements Counted {
    /** The retries of one request never exceed its retry credits. */
    RETRY_BOUND,
    /** A request is refused only after every less important one. */
    REFUSAL_ORDER,
    /** An answer reaches only the request that it answers. */
    OWN_ANSWER,
    /** A request reported as not run was sent to no copy. */
    NOT_RUN_IS_TRUE,
    /** A request that is not idempotent is sent to a copy at most once. */
    AT_MOST_ONCE,
    /** A leaving copy gets no new requests. */
    NO_WORK_WHEN_LEAVING,
    /** A planned stop interrupts no request. */
    GRACEFUL_STOP,
    /** The configuration version in force never decreases. */
    VERSION_NEVER_FALLS;

    @Override
    public String family() {
        return "breach";
    }
}
