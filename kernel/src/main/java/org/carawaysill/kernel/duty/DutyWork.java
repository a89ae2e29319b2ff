package org.carawaysill.kernel.duty;

/**
 * The work of a {@link Duty}. All methods run on the duty's own thread, so an implementation need not be thread safe.
 *
 * @param <T> the type of the items that the duty takes from its ring
 */
public interface DutyWork<T> {

    /**
     * Handles one item.
     *
     * @param item the item
     */
    void handle(T item);

    /** Performs timed work; called once the time of {@link #nextWakeNanos()} has passed. */
    void wakeUp();

    /**
     * Returns when {@link #wakeUp()} is due if no item arrives before.
     *
     * @return a time on the clock of {@link System#nanoTime()}, or {@link Long#MAX_VALUE} for never
     */
    long nextWakeNanos();
}
