package org.carawaysill.model.request;

/**
 * Events around crashed copies; each has its own counter.
 *
 * <p>Immutable and thread safe.
 */
public enum CrashCount implements Counted {
    /** The process of the local copy ended with requests in flight and without a planned stop. */
    COPY_CRASHED,
    /** A request is suspected to have crashed the local copy. */
    SUSPECTED,
    /** A request was identified as the cause of crashes of the local copy, and of other copies before. */
    QUARANTINED,
    /** The local copy answered a suspected request. */
    CLEARED,
    /** The state of a suspected request was dropped. */
    FORGOTTEN;

    @Override
    public String family() {
        return "crash";
    }
}
