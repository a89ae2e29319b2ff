package org.carawaysill.policy.fleet.publication;

import java.util.OptionalLong;
import org.carawaysill.model.fleet.Revision;

/**
 * Follows the eras that the platform tells with its answers.
 *
 * <p>A new era begins when the platform comes back from an older copy: its revisions then go back and are given out again.
 * Invariant: where eras were told and one can't be read, the answer belongs to no known era. Not thread safe: owned by the policy.
 */
public final class Eras {

    /** The era of a platform that has told none. */
    public static final long NOT_TOLD = 0;

    private long current = NOT_TOLD;
    private boolean known;
    private boolean knownToOthers;
    private boolean readable = true;

    /** What an answer says of the era. */
    public enum Change {
        /** The first era that this node hears of, or the same again. */
        NONE,
        /** A later era: the platform came back from an older copy. */
        BEGAN,
        /** An earlier era than before. */
        FELL,
        /** No era, or one that can't be read, where the answer before had one or there was none before. */
        BECAME_UNREADABLE,
        /** Still none that can be read. */
        STAYS_UNREADABLE
    }

    /**
     * Receives the era of an answer.
     *
     * @param told the era; empty where there is none that can be read
     * @return what that changes
     */
    public Change receive(OptionalLong told) {
        if (told.isEmpty()) {
            boolean before = readable;
            readable = false;
            return before ? Change.BECAME_UNREADABLE : Change.STAYS_UNREADABLE;
        }
        long last = current;
        boolean first = !known;
        current = told.getAsLong();
        known = true;
        readable = true;
        if (first || current == last) {
            return Change.NONE;
        }
        return current > last ? Change.BEGAN : Change.FELL;
    }

    /**
     * Receives the era of what another node knows.
     *
     * @param era the era; {@link #NOT_TOLD} where the platform told that node none
     */
    public void heard(long era) {
        knownToOthers |= era != NOT_TOLD;
    }

    /**
     * Returns the era of the last answer.
     *
     * @return the era; {@link Revision#UNKNOWN_ERA} where it told none and others did, {@link #NOT_TOLD} where none did
     */
    public long current() {
        return isLost() ? Revision.UNKNOWN_ERA : current;
    }

    /**
     * Returns whether the platform has told eras before, here or to others, and does not now, so that a return can't be seen.
     *
     * @return whether it has become unreadable
     */
    public boolean isLost() {
        return (known || knownToOthers) && !readable;
    }
}
