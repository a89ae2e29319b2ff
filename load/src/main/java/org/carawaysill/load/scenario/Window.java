package org.carawaysill.load.scenario;

/**
 * A stretch of a run.
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
     * Tells whether a moment lies inside.
     *
     * @param atNanos nanoseconds from the run's start
     * @return true from the start until just before the end
     */
    public boolean contains(long atNanos) {
        return atNanos >= startNanos && atNanos < endNanos;
    }

    /**
     * Gives the length.
     *
     * @return seconds
     */
    public double seconds() {
        return (endNanos - startNanos) / NANOS_PER_SECOND;
    }
}
