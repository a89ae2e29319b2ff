package org.carawaysill.load.client;

import java.util.Locale;

/** What can be wrong with an answer that claims success. Immutable and thread safe. */
public enum AnswerFault {
    /** It is not what its own length says. */
    TRUNCATED,
    /** It answers another request. */
    FOREIGN,
    /** It can't be read. */
    GARBLED;

    /**
     * Gives the name in reports.
     *
     * @return the name in lower case
     */
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
