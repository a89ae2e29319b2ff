package org.carawaysill.load.audit;

import java.util.Locale;

/** A guarantee that was violated in a run. Immutable and thread safe. */
public enum Violation {
    /** A caller got "not run" at each try, although a copy ran its request. */
    NOT_RUN_RAN,
    /** A request that is not idempotent ran more than once. */
    RAN_TWICE,
    /** A request ran more often than its retry credits allow. */
    RETRY_BOUND,
    /** A caller got an answer to another request. */
    FOREIGN_ANSWER,
    /** A caller got an incomplete answer as a success. */
    INCOMPLETE_ANSWER,
    /** A caller got a complete answer to a request that no copy ran. */
    ANSWERED_NOT_RUN;

    /**
     * Returns the name in reports.
     *
     * @return the name in lower case, with hyphens
     */
    public String text() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
