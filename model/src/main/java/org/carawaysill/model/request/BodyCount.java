package org.carawaysill.model.request;

/**
 * Events around large bodies that are sent after their requests; each has its own counter.
 *
 * <p>Immutable and thread safe.
 */
public enum BodyCount implements Counted {
    /** A request was given a slot of the local copy, and its body was asked for. */
    PLACE_GRANTED,
    /** The body did not arrive in time, and the slot was given up. */
    PLACE_LAPSED,
    /** The slot was given up for another reason before the body arrived. */
    PLACE_RELEASED,
    /** The body could not be asked for, and the slot was given up. */
    GRANT_UNSENT,
    /** A grant arrived for an attempt that awaits none. */
    GRANT_IGNORED,
    /** A body was sent to the node that granted a place for it. */
    BODY_SENT,
    /** A body could not be sent to the node that granted a place for it. */
    BODY_UNSENT,
    /** A body arrived for which no place is held; it was not run. */
    BODY_IGNORED;

    @Override
    public String family() {
        return "body";
    }
}
