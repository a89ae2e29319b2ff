package org.carawaysill.policy.fleet.schedule;

import org.carawaysill.policy.time.Nanos;

/**
 * The work that was recently asked of the copy for one class: the slots that it would hold on average if all of it ran.
 *
 * <p>Not thread safe: owned by the policy.
 */
final class AskedWork {

    private final double timeConstantNanos;
    private double requestsPerSecond;
    private double slots;
    private long lastNanos;

    /** Creates the measure of a class without any work, which averages over a time. */
    AskedWork(double timeConstantNanos) {
        this.timeConstantNanos = timeConstantNanos;
    }

    /** Adds a request that is expected to hold a slot for a time. */
    void add(long now, long nanos) {
        age(now);
        requestsPerSecond += Nanos.PER_SECOND / timeConstantNanos;
        slots += nanos / timeConstantNanos;
    }

    private void age(long now) {
        double left = Math.exp((lastNanos - now) / timeConstantNanos);
        requestsPerSecond *= left;
        slots *= left;
        lastNanos = now;
    }

    /** Returns the slots that the work holds on average. */
    double slots(long now) {
        age(now);
        return slots;
    }

    /** Returns the mean time for which a request holds a slot, 0 while none is known. */
    double meanNanos(long now) {
        age(now);
        return requestsPerSecond == 0 ? 0 : slots / requestsPerSecond * Nanos.PER_SECOND;
    }

    void reset() {
        requestsPerSecond = 0;
        slots = 0;
    }
}
