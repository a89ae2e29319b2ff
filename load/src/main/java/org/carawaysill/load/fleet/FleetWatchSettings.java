package org.carawaysill.load.fleet;

import java.time.Duration;

/**
 * Settings of a fleet measurement.
 *
 * <p>Invariant: the settling time is not negative, the others are positive. Immutable and thread safe.
 *
 * @param settling how long to wait after the last node is ready
 * @param length the length of all phases together
 * @param interval the time from one publication to the next
 */
public record FleetWatchSettings(Duration settling, Duration length, Duration interval) {

    public FleetWatchSettings {
        if (settling.isNegative() || !length.isPositive() || !interval.isPositive()) {
            throw new IllegalArgumentException("the settling must not be negative, length and interval positive");
        }
    }
}
