package org.carawaysill.kernel.duty;

/**
 * What a {@link Duty} does. All methods run on the duty's own thread, so an implementation needs no thread safety.
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

    /** Does what is due now, since {@link #nextWakeNanos()} has passed. */
    void wakeUp();

    /**
     * Tells when {@link #wakeUp()} is due if no item comes before.
     *
     * @return a time of {@link System#nanoTime()}, {@link Long#MAX_VALUE} for never
     */
    long nextWakeNanos();
}
