package org.carawaysill.load.audit;

import java.util.Locale;

/** A promise that a run saw broken. Immutable and thread safe. */
public enum Violation {
    /** A caller was told at each try that its request was not run, and a copy ran it. */
    NOT_RUN_RAN,
    /** A request that is not idempotent was run more than once. */
    RAN_TWICE,
    /** One request was run more often than its retry credits allow. */
    RETRY_BOUND,
    /** A caller got an answer to another request. */
    FOREIGN_ANSWER,
    /** A caller got an incomplete answer as a success. */
    INCOMPLETE_ANSWER,
    /** A caller got a complete answer that no copy of the entry service ran. */
    ANSWERED_NOT_RUN;

    /**
     * Gives the name in reports.
     *
     * @return the name in lower case, with hyphens
     */
    public String text() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
