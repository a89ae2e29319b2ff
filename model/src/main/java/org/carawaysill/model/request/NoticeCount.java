package org.carawaysill.model.request;

/**
 * Changes in what the answers of the local copy state about it; each has its own counter.
 *
 * <p>Immutable and thread safe.
 */
public enum NoticeCount implements Counted {
    /** The copy named a limit of requests per second, and none was known. */
    LIMIT_NAMED,
    /** The copy named another limit than before. */
    LIMIT_CHANGED,
    /** The copy no longer names a limit. */
    LIMIT_ENDED,
    /** An answer names a limit that can't be read. */
    LIMIT_UNREADABLE,
    /** The copy's process says that it leaves. */
    LEAVING,
    /** An answer has a field that the node does not read, for the first time. */
    FIELD_UNREAD;

    @Override
    public String family() {
        return "copy_notice";
    }
}
