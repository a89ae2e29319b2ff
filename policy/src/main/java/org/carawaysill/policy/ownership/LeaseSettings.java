package org.carawaysill.policy.ownership;

import java.time.Duration;

/**
 * Durations and clock margins of roster leases; the same on all nodes of a service.
 *
 * <p>Invariant: the drift margin is shorter than the renewal interval, and that is shorter than the lease. Immutable and
 * thread safe.
 *
 * @param duration how long a lease lasts
 * @param renewalInterval how often it is renewed
 * @param driftMargin by how much two monotonic clocks may drift apart over one lease
 * @param clockMargin by how much two wall clocks may differ; nodes that see more than half of it refuse each other's
 * leases
 * @param longestDeadline the longest deadline of any request
 * @param vmListLag the longest lag of the platform's list of VMs
 */
public record LeaseSettings(
        Duration duration,
        Duration renewalInterval,
        Duration driftMargin,
        Duration clockMargin,
        Duration longestDeadline,
        Duration vmListLag) {

    /** The settings of a node that states none. */
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
     * Returns for how long a granter counts a lease that it granted as in force, by its own clock.
     *
     * @return the duration of the lease plus the margin by which the holder's clock may be slower
     */
    public Duration grantLength() {
        return duration.plus(driftMargin);
    }

    /**
     * Returns for how long a VM must have been absent from the list before it counts as gone.
     *
     * @return the time within which every lease that the VM granted has expired, every request has passed its deadline, and
     * the list is up to date
     */
    public Duration goneAfter() {
        return grantLength().plus(longestDeadline).plus(vmListLag);
    }

    /**
     * Reduces a measured time by as much as the clock that measured it may run fast.
     *
     * @param nanos a time that another node measured
     * @return the least time that elapsed on this node's clock meanwhile
     */
    long minimumElapsed(long nanos) {
        return nanos - (long) (nanos * ((double) driftMargin.toNanos() / duration.toNanos()));
    }
}
