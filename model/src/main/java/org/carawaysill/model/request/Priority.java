package org.carawaysill.model.request;

import org.carawaysill.model.identity.CallerName;

/**
 * The place of a request in the order of refusal: its importance, then a hash of its caller.
 *
 * <p>The hash splits one importance evenly by caller, so that an overload refuses some callers fully instead of all
 * callers partly, and a caller's requests are refused or admitted alike on every node. Invariant: 0 to {@link #MAXIMUM},
 * greater is refused later. Immutable and thread safe.
 *
 * @param level the place, 0 to {@link #MAXIMUM}
 */
public record Priority(int level) implements Comparable<Priority> {

    /** How many levels one importance has. */
    public static final int LEVELS_PER_IMPORTANCE = 128;

    /** The greatest level. */
    public static final int MAXIMUM = Importance.values().length * LEVELS_PER_IMPORTANCE - 1;

    public Priority {
        if (level < 0 || level > MAXIMUM) {
            throw new IllegalArgumentException("priority level out of range: " + level);
        }
    }

    /**
     * Places a request.
     *
     * @param importance the importance of the request
     * @param caller who asks
     * @return the place in the order of refusal
     */
    public static Priority of(Importance importance, CallerName caller) {
        int spread = caller.value().hashCode() * 0x9E3779B1;
        int within = (spread >>> Integer.SIZE - 7) % LEVELS_PER_IMPORTANCE;
        return new Priority(importance.ordinal() * LEVELS_PER_IMPORTANCE + within);
    }

    /**
     * Tells the importance that this place belongs to.
     *
     * @return the importance
     */
    public Importance importance() {
        return Importance.values()[level / LEVELS_PER_IMPORTANCE];
    }

    @Override
    public int compareTo(Priority other) {
        return Integer.compare(level, other.level);
    }
}
