package org.carawaysill.policy.admission;

/**
 * Settings of {@link CopyAdmission}.
 *
 * <p>Under overload the queue is kept near a target, so that no slot is free for want of work. What it must bridge is the
 * random swing of the arrivals, which grows with the square root of the limit.
 *
 * <p>Invariant: the factor is positive. Immutable and thread safe.
 *
 * @param queueFactor the queue's target, in square roots of the limit; twice as many may wait
 * @param cancelForCritical whether unimportant idempotent requests are cancelled at the copy for critical ones that would
 *     be refused
 */
public record AdmissionSettings(double queueFactor, boolean cancelForCritical) {

    /** What holds unless a node's settings say otherwise. */
    public static final AdmissionSettings DEFAULTS = new AdmissionSettings(3, true);

    private static final int CAPACITY_PER_TARGET = 2;

    public AdmissionSettings {
        if (!(queueFactor > 0)) {
            throw new IllegalArgumentException("the queue factor must be positive");
        }
    }

    /**
     * Tells how many requests should wait under overload.
     *
     * @param limit the concurrency limit
     * @return the target
     */
    double queueTarget(int limit) {
        return queueFactor * Math.sqrt(limit);
    }

    /**
     * Tells how many requests may wait.
     *
     * @param limit the concurrency limit
     * @return the capacity, at least 1
     */
    int queueCapacity(int limit) {
        return (int) Math.ceil(CAPACITY_PER_TARGET * queueTarget(limit));
    }
}
