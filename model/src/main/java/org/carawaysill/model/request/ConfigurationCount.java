package org.carawaysill.model.request;

/**
 * What happens to a published configuration on its way into force; each has its own counter.
 *
 * <p>Immutable and thread safe.
 */
public enum ConfigurationCount implements Counted {
    /** A read or a watch was started at the platform. */
    READ,
    /** A read or a watch failed. */
    READ_FAILED,
    /** The platform gave an older version than this node holds. */
    STALE_READ,
    /** The platform came back from an older copy: it gives its revisions out again. */
    ERA_CHANGED,
    /** The platform's answer did not tell whether it came back from an older copy. */
    ERA_UNREADABLE,
    /** A document failed the checks. */
    REFUSED,
    /** A change from another node didn't apply to the text that this node holds. */
    BAD_CHANGE,
    /** A newer version came into force. */
    ADOPTED;

    @Override
    public String family() {
        return "configuration";
    }
}
