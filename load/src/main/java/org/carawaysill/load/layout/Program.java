package org.carawaysill.load.layout;

import java.util.Locale;

/** The programs that a layout starts. Immutable and thread safe. */
public enum Program {
    /** The node beside an upstream copy. */
    NODE,
    /** A stand-in for the platform or for an upstream copy. */
    STANDIN;

    /**
     * Returns the launcher's name of the program.
     *
     * @return the name in lower case
     */
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
