package org.carawaysill.model.request;

import java.util.Locale;

/** A kind of event that a node counts; each kind has its own family of counters. Immutable and thread safe. */
public sealed interface Counted
        permits RefusalReason,
                UnknownReason,
                RetryReason,
                Invariant,
                ConfigurationCount,
                CrashCount,
                NoticeCount,
                LeavingSign,
                BodyCount,
                WorkCount,
                ShareBound {

    /**
     * Returns the name of the family of counters.
     *
     * @return a lower-case word
     */
    String family();

    /**
     * Returns the name of the constant.
     *
     * @return the constant's name
     */
    String name();

    /**
     * Returns the value of the metric's label.
     *
     * @return the constant's name in lower case
     */
    default String labelValue() {
        return name().toLowerCase(Locale.ROOT);
    }
}
