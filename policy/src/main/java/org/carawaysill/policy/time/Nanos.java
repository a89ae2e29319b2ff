package org.carawaysill.policy.time;

/** Turns nanoseconds into other units. Stateless and thread safe. */
public final class Nanos {

    /** How many make a second. */
    public static final double PER_SECOND = 1e9;

    private static final long PER_MILLISECOND = 1_000_000;

    private Nanos() {}

    /**
     * Gives whole milliseconds.
     *
     * @param nanos nanoseconds
     * @return milliseconds, rounded down
     */
    public static long toMillis(long nanos) {
        return nanos / PER_MILLISECOND;
    }
}
