package org.carawaysill.policy.ownership;

import java.time.Duration;

/**
 * The times of roster leases; the same on all nodes of a service.
 *
 * <p>Invariant: the drift margin is shorter than the renewal interval, and that is shorter than the lease. Immutable and
 * thread safe.
 *
 * @param duration how long a lease lasts
 * @param renewalInterval how often it is renewed
 * @param driftMargin by how much two monotonic clocks may drift apart over one lease
 * @param clockMargin by how much two wall clocks may differ; nodes that see more refuse each other's leases
 * @param longestDeadline the longest deadline of any request
 * @param vmListLag the most by which the platform's list of VMs lags
 */
public record LeaseSettings(
        Duration duration,
        Duration renewalInterval,
        Duration driftMargin,
        Duration clockMargin,
        Duration longestDeadline,
        Duration vmListLag) {

    /** What holds unless the settings of a node say otherwise. */
    public static final LeaseSettings DEFAULTS = new LeaseSettings(
            Duration.ofSeconds(3),
            Duration.ofSeconds(1),
            Duration.ofMillis(100),
            Duration.ofSeconds(1),
            Duration.ofSeconds(30),
            Duration.ofSeconds(30));

    public LeaseSettings {
        if (driftMargin.compareTo(renewalInterval) >= 0 || renewalInterval.compareTo(duration) >= 0) {
            throw new IllegalArgumentException("the margin must be shorter than the renewal, and that than the lease");
        }
        if (driftMargin.isNegative() || clockMargin.isNegative()) {
            throw new IllegalArgumentException("clock margins must not be negative");
        }
    }

    /**
     * Tells for how long a granter counts a lease that it granted, by its own clock.
     *
     * @return the lease and the margin by which the holder's clock may be slower
     */
    public Duration grantLength() {
        return duration.plus(driftMargin);
    }

    /**
     * Tells for how long a VM must have been absent from the list before it counts as gone.
     *
     * @return the time within which all that the VM granted has run out, and the list has caught up
     */
    public Duration goneAfter() {
        return grantLength().plus(longestDeadline).plus(vmListLag);
    }

    /**
     * Shortens a measured time by as much as the clock that measured it may have been fast.
     *
     * @param nanos a time that another node measured
     * @return the least time that passed here meanwhile
     */
    long leastElapsed(long nanos) {
        return nanos - (long) (nanos * ((double) driftMargin.toNanos() / duration.toNanos()));
    }
}
