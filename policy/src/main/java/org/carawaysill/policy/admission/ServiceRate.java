package org.carawaysill.policy.admission;

/**
 * How many requests a second the copy answers with all slots of its limit in use.
 *
 * <p>By Little's law the mean time that a request holds a slot is the busy time of all slots over the answers given in
 * it. Both are sums of about the last {@link #ANSWERS}. So the estimate follows a quick copy quickly, a copy that hangs
 * is seen at once by the answers that stay out, and an idle copy keeps its last ratio.
 *
 * <p>Not thread safe.
 */
final class ServiceRate {

    private static final double ANSWERS = 32;
    private static final double KEPT = 1 - 1 / ANSWERS;
    private static final double NANOS_PER_SECOND = 1e9;

    private double busyNanos;
    private double answers;

    /**
     * Takes note of time in slots.
     *
     * @param nanos time passed, for each request at the copy
     */
    void busy(double nanos) {
        busyNanos += nanos;
    }

    /** Takes note of an answer. */
    void answered() {
        busyNanos *= KEPT;
        answers = answers * KEPT + 1;
    }

    /**
     * Tells the rate at a limit.
     *
     * @param limit requests at the copy
     * @return answers a second, infinite while none is known
     */
    double perSecond(int limit) {
        if (answers == 0 || busyNanos <= 0) {
            return Double.POSITIVE_INFINITY;
        }
        return limit * answers / busyNanos * NANOS_PER_SECOND;
    }
}
