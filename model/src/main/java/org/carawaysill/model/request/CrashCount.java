package org.carawaysill.model.request;

/**
 * What a node noticed of copies that crashed; each has its own counter.
 *
 * <p>Immutable and thread safe.
 */
public enum CrashCount implements Counted {
    /** The copy beside this node ended with requests at it, and without a planned stop. */
    COPY_CRASHED;

    @Override
    public String family() {
        return "crash";
    }
}
