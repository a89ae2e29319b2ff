package org.carawaysill.model.request;

/**
 * Events in the processing of a published configuration; each has its own counter.
 *
 * <p>Immutable and thread safe.
 */
public enum ConfigurationCount implements Counted {
    /** A read or a watch was started at the platform. */
    READ,
    /** A read or a watch failed. */
    READ_FAILED,
    /** The platform returned an older version than this node holds. */
    STALE_READ,
    /** The platform was restored to an older state, so that it assigns revisions again. */
    ERA_CHANGED,
    /** The platform's answer did not state whether the platform was restored to an older state. */
    ERA_UNREADABLE,
    /** A document failed validation. */
    REFUSED,
    /** A change from another node could not be applied to the text that this node holds. */
    BAD_CHANGE,
    /** A newer version came into force. */
    ADOPTED;

    @Override
    public String family() {
        return "configuration";
    }
}
