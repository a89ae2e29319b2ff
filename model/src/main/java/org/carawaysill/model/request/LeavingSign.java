package org.carawaysill.model.request;

/**
 * What shows that the local copy leaves and takes no new requests; each has its own counter.
 *
 * <p>Immutable and thread safe.
 */
public enum LeavingSign implements Counted {
    /** Its published record says that it is draining. */
    DRAINING,
    /** Its entry is gone from the platform. */
    REMOVED,
    /** Its own answers say so. */
    STATED;

    @Override
    public String family() {
        return "copy_leaving";
    }
}
