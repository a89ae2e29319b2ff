package org.carawaysill.model.request;

import java.util.Locale;

/** Something of which a node counts the occurrences, one counter family per kind. Immutable and thread safe. */
public sealed interface Counted
        permits RefusalReason, UnknownReason, RetryReason, Invariant, ConfigurationCount, CrashCount {

    /**
     * Names the family of counters.
     *
     * @return a lower-case word
     */
    String family();

    /**
     * Names the constant.
     *
     * @return the constant's name
     */
    String name();

    /**
     * Gives the value of the metric's label.
     *
     * @return the constant's name in lower case
     */
    default String labelValue() {
        return name().toLowerCase(Locale.ROOT);
    }
}
