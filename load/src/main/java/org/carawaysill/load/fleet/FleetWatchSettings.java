package org.carawaysill.load.fleet;

import java.time.Duration;

/**
 * How a fleet is measured.
 *
 * <p>Invariant: the settling is not negative, the others are positive. Immutable and thread safe.
 *
 * @param settling how long to wait after the last node's readiness
 * @param length all phases together
 * @param interval from one publication to the next
 */
public record FleetWatchSettings(Duration settling, Duration length, Duration interval) {

    public FleetWatchSettings {
        if (settling.isNegative() || !length.isPositive() || !interval.isPositive()) {
            throw new IllegalArgumentException("the settling must not be negative, length and interval positive");
        }
    }
}
