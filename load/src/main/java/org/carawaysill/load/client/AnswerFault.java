package org.carawaysill.load.client;

import java.util.Locale;

/** The faults of an answer with a success status. Immutable and thread safe. */
public enum AnswerFault {
    /** Its length differs from the length that it states. */
    TRUNCATED,
    /** It answers another request. */
    FOREIGN,
    /** It can't be parsed. */
    GARBLED;

    /**
     * Returns the name in reports.
     *
     * @return the name in lower case
     */
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
