package org.carawaysill.policy.admission;

/**
 * Settings of {@link CopyAdmission}.
 *
 * <p>Under overload the queue is kept near a target length, so that no slot idles for lack of work. The queue has to cover
 * random fluctuations of the arrivals, which grow with the square root of the limit.
 *
 * <p>Invariant: the factor is positive. Immutable and thread safe.
 *
 * @param queueFactor the target length of the queue, as a multiple of the square root of the limit; the capacity is
 * twice the target
 * @param cancelForCritical whether unimportant idempotent requests are cancelled at the copy for critical ones that
 *     would be refused
 */
public record AdmissionSettings(double queueFactor, boolean cancelForCritical) {

    /** The settings of a node that states none. */
    public static final AdmissionSettings DEFAULTS = new AdmissionSettings(3, true);

    private static final int CAPACITY_PER_TARGET = 2;

    public AdmissionSettings {
        if (!(queueFactor > 0)) {
            throw new IllegalArgumentException("the queue factor must be positive");
        }
    }

    /**
     * Returns how many requests should wait under overload.
     *
     * @param limit the concurrency limit
     * @return the target
     */
    double queueTarget(int limit) {
        return queueFactor * Math.sqrt(limit);
    }

    /**
     * Returns how many requests may wait.
     *
     * @param limit the concurrency limit
     * @return the capacity, at least 1
     */
    int queueCapacity(int limit) {
        return (int) Math.ceil(CAPACITY_PER_TARGET * queueTarget(limit));
    }
}
