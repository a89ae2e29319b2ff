package org.carawaysill.load.layout;

import java.util.Locale;

/** The policies that a node can run. Immutable and thread safe. */
public enum PolicyName {
    /** Plain forwarding with fixed retries at each hop. */
    BASELINE,
    /** The policy of this project. */
    CARAWAYSILL;

    /**
     * Returns the name in settings.
     *
     * @return the name in lower case
     */
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
