package org.carawaysill.policy.time;

/** Converts nanoseconds to other units. Stateless and thread safe. */
public final class Nanos {

    /** The number of nanoseconds in a second. */
    public static final double PER_SECOND = 1e9;

    private static final long PER_MILLISECOND = 1_000_000;

    private Nanos() {}

    /**
     * Converts nanoseconds to whole milliseconds.
     *
     * @param nanos nanoseconds
     * @return milliseconds, rounded down
     */
    public static long toMillis(long nanos) {
        return nanos / PER_MILLISECOND;
    }
}
