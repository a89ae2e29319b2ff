package org.carawaysill.load.layout;

import java.util.Locale;

/** The policies that a node can run. Immutable and thread safe. */
public enum PolicyName {
    /** Plain forwarding with fixed retries at each hop. */
    BASELINE,
    /** The project's own. */
    CARAWAYSILL;

    /**
     * Gives the name in settings.
     *
     * @return the name in lower case
     */
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
