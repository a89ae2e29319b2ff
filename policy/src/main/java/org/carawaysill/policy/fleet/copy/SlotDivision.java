package org.carawaysill.policy.fleet.copy;

import java.util.Optional;

/**
 * How the slots of the copy are divided between short and long work at a moment. Immutable and thread safe.
 *
 * @param slots how many requests may run
 * @param guaranteedLong the slots that long work gets before short work gets more than the rest
 * @param mostLong the slots that long work may use at most
 * @param shortRunning the short requests that run
 * @param longRunning the long requests that run
 * @param shortQueued the short requests that wait
 * @param longQueued the long requests that wait
 */
public record SlotDivision(
        int slots,
        int guaranteedLong,
        int mostLong,
        int shortRunning,
        int longRunning,
        int shortQueued,
        int longQueued) {

    /** A change by less than this part of the slots is not worth a line in the log. */
    private static final double NOTABLE_PART = 0.125;

    /**
     * Returns whether the division notably differs from another.
     *
     * @param other the other division, empty if the slots were not divided
     * @return whether it differs
     */
    public boolean differsFrom(Optional<SlotDivision> other) {
        double notable = Math.max(1, NOTABLE_PART * slots);
        return other.isEmpty() || Math.abs(mostLong - other.get().mostLong) >= notable;
    }
}
