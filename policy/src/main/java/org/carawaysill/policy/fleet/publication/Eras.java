package org.carawaysill.policy.fleet.publication;

import java.util.OptionalLong;
import org.carawaysill.model.fleet.Revision;

/**
 * Tracks the era that the platform reports with its answers.
 *
 * <p>A new era begins when the platform is restored from an older state: its revisions then go back and are assigned
 * again. Invariant: if eras were reported before and one is unreadable, the answer belongs to no known era. Not thread
 * safe: owned by the policy.
 */
public final class Eras {

    /** The era of a platform that has reported none. */
    public static final long NOT_REPORTED = 0;

    private long current = NOT_REPORTED;
    private boolean known;
    private boolean knownToOthers;
    private boolean readable = true;

    /** How the era of an answer relates to that of the answer before. */
    public enum Change {
        /** The first era that this node receives, or the same one again. */
        NONE,
        /** A later era: the platform was restored from an older state. */
        BEGAN,
        /** An earlier era than that of the answer before. */
        FELL,
        /** A missing or unreadable era, after a readable one or in the first answer. */
        BECAME_UNREADABLE,
        /** A missing or unreadable era, again. */
        STAYS_UNREADABLE
    }

    /**
     * Takes in the era of an answer.
     *
     * @param reported the era; empty if it is missing or unreadable
     * @return how it relates to the era before
     */
    public Change receive(OptionalLong reported) {
        if (reported.isEmpty()) {
            boolean before = readable;
            readable = false;
            return before ? Change.BECAME_UNREADABLE : Change.STAYS_UNREADABLE;
        }
        long last = current;
        boolean first = !known;
        current = reported.getAsLong();
        known = true;
        readable = true;
        if (first || current == last) {
            return Change.NONE;
        }
        return current > last ? Change.BEGAN : Change.FELL;
    }

    /**
     * Takes in the era of another node's state.
     *
     * @param era the era; {@link #NOT_REPORTED} if the platform reported none to that node
     */
    public void receiveFromNode(long era) {
        knownToOthers |= era != NOT_REPORTED;
    }

    /**
     * Returns the era of the last answer.
     *
     * @return the era; {@link Revision#UNKNOWN_ERA} if it had none and other answers had one, {@link #NOT_REPORTED} if
     *     none ever had
     */
    public long current() {
        return isUnreadable() ? Revision.UNKNOWN_ERA : current;
    }

    /**
     * Returns whether the platform has reported eras before, to this node or to others, and now doesn't, so that a
     * restore cannot be detected.
     *
     * @return whether the era has become unreadable
     */
    public boolean isUnreadable() {
        return (known || knownToOthers) && !readable;
    }
}
