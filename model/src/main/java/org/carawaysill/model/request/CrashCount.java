package org.carawaysill.model.request;

/**
 * What a node noticed of copies that crashed; each has its own counter.
 *
 * <p>Immutable and thread safe.
 */
public enum CrashCount implements Counted {
    /** The copy beside this node ended with requests at it, and without a planned stop. */
    COPY_CRASHED,
    /** A request is suspected to have crashed the local copy. */
    SUSPECTED,
    /** A request was found to be the cause of crashes of the local copy, and before it of others. */
    QUARANTINED,
    /** A suspected request was answered by the local copy. */
    CLEARED,
    /** A suspected request was forgotten. */
    FORGOTTEN;

    @Override
    public String family() {
        return "crash";
    }
}
