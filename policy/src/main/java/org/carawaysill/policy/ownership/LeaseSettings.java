package org.carawaysill.policy.ownership;

import java.time.Duration;

/**
 * The times of roster leases; the same on all nodes of a service.
 *
 * <p>Invariant: the margin is shorter than the renewal interval, and that is shorter than the lease. Immutable and thread
 * safe.
 *
 * @param duration how long a lease lasts
 * @param renewalInterval how often it is renewed
 * @param driftMargin by how much two monotonic clocks may drift apart over one lease
 * @param longestDeadline the longest deadline of any request
 * @param vmListLag the most by which the platform's list of VMs lags
 */
public record LeaseSettings(
        Duration duration,
        Duration renewalInterval,
        Duration driftMargin,
        Duration longestDeadline,
        Duration vmListLag) {

    /** What holds unless the settings of a node say otherwise. */
    public static final LeaseSettings DEFAULTS = new LeaseSettings(
            Duration.ofSeconds(3),
            Duration.ofSeconds(1),
            Duration.ofMillis(100),
            Duration.ofSeconds(30),
            Duration.ofSeconds(30));

    public LeaseSettings {
        if (driftMargin.compareTo(renewalInterval) >= 0 || renewalInterval.compareTo(duration) >= 0) {
            throw new IllegalArgumentException("the margin must be shorter than the renewal, and that than the lease");
        }
    }

    /**
     * Tells for how long a VM must have been absent from the list before it counts as gone.
     *
     * @return the time within which all that the VM granted has run out, and the list has caught up
     */
    public Duration goneAfter() {
        return duration.plus(driftMargin).plus(longestDeadline).plus(vmListLag);
    }
}
