package org.carawaysill.load.scenario;

/**
 * A time interval of a run.
 *
 * <p>Invariant: it does not end before it starts. Immutable and thread safe.
 *
 * @param startNanos nanoseconds from the run's start, included
 * @param endNanos nanoseconds from the run's start, excluded
 */
public record Window(long startNanos, long endNanos) {

    private static final double NANOS_PER_SECOND = 1e9;

    public Window {
        if (endNanos < startNanos) {
            throw new IllegalArgumentException("a window must not end before it starts");
        }
    }

    /**
     * Returns whether a time lies inside.
     *
     * @param atNanos nanoseconds from the run's start
     * @return true from the start, inclusive, to the end, exclusive
     */
    public boolean contains(long atNanos) {
        return atNanos >= startNanos && atNanos < endNanos;
    }

    /**
     * Returns the length.
     *
     * @return seconds
     */
    public double seconds() {
        return (endNanos - startNanos) / NANOS_PER_SECOND;
    }
}
