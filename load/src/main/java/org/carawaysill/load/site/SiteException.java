package org.carawaysill.load.site;

import java.nio.file.Path;

/** Signals an unreadable or faulty file of a site; the message names file, line and key. Immutable and thread safe. */
public final class SiteException extends Exception {

    private static final long serialVersionUID = 1L;

    /**
     * Creates the error.
     *
     * @param file the file
     * @param line the line, from 1; 0 if the fault is in the file as a whole
     * @param key the key's path; empty if there is none
     * @param message what is wrong
     */
    public SiteException(Path file, int line, String key, String message) {
        super(file + (line > 0 ? ":" + line : "") + ": " + (key.isEmpty() ? "" : key + ": ") + message);
    }
}
