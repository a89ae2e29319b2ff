package org.carawaysill.model.request;

/**
 * A promise that the program checks about itself; each breach is counted.
 *
 * <p>Immutable and thread safe.
 */
public enum Invariant implements Counted {
    /** The retries of one request never exceed what it was granted. */
    RETRY_BOUND,
    /** A request is refused only after every less important one. */
    REFUSAL_ORDER,
    /** An answer reaches only the request that it answers. */
    OWN_ANSWER,
    /** A request reported as not run was handed to no copy. */
    NOT_RUN_IS_TRUE,
    /** A request that is not idempotent is handed to a copy at most once. */
    AT_MOST_ONCE,
    /** A leaving copy gets no new work. */
    NO_WORK_WHEN_LEAVING,
    /** A planned stop cuts off no request. */
    GRACEFUL_STOP,
    /** The configuration version in force never falls. */
    VERSION_NEVER_FALLS;

    @Override
    public String family() {
        return "breach";
    }
}
