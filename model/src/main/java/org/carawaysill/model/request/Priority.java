package org.carawaysill.model.request;

import org.carawaysill.model.identity.CallerName;

/**
 * The priority of a request in the order of refusal: its importance, then a hash of its caller.
 *
 * <p>The hash divides the requests of one importance evenly by caller, so that an overloaded service refuses all
 * requests of some callers instead of some requests of all callers, and all nodes refuse or admit the requests of a
 * caller alike. Invariant: 0 to {@link #MAXIMUM}; greater priorities are refused later. Immutable and thread safe.
 *
 * @param level the level, 0 to {@link #MAXIMUM}
 */
public record Priority(int level) implements Comparable<Priority> {

    /** The number of levels of one importance. */
    public static final int LEVELS_PER_IMPORTANCE = 128;

    /** The greatest level. */
    public static final int MAXIMUM = Importance.values().length * LEVELS_PER_IMPORTANCE - 1;

    public Priority {
        if (level < 0 || level > MAXIMUM) {
            throw new IllegalArgumentException("priority level out of range: " + level);
        }
    }

    /**
     * Computes the priority of a request.
     *
     * @param importance the importance of the request
     * @param caller the caller
     * @return the priority
     */
    public static Priority of(Importance importance, CallerName caller) {
        int hash = caller.value().hashCode() * 0x9E3779B1;
        int offset = (hash >>> Integer.SIZE - 7) % LEVELS_PER_IMPORTANCE;
        return new Priority(importance.ordinal() * LEVELS_PER_IMPORTANCE + offset);
    }

    /**
     * Returns the importance to which this priority belongs.
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
