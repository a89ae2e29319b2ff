package org.carawaysill.policy.admission;

/**
 * Estimates how many requests per second the copy answers with all slots of its limit in use.
 *
 * <p>By Little's law the mean time that a request holds a slot is the busy time of all slots divided by the answers
 * given in that time. Both are decaying sums over about the last {@link #ANSWERS} answers. So the estimate adapts fast
 * to a fast copy, drops at once when a copy hangs, since busy time grows without answers, and stays constant while the
 * copy is idle.
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
     * Adds to the time for which slots were in use.
     *
     * @param nanos elapsed time, summed over the requests at the copy
     */
    void busy(double nanos) {
        busyNanos += nanos;
    }

    /** Counts an answer. */
    void answered() {
        busyNanos *= KEPT;
        answers = answers * KEPT + 1;
    }

    /**
     * Returns the rate at a limit.
     *
     * @param limit requests at the copy
     * @return answers per second, infinite before the first answer
     */
    double perSecond(int limit) {
        if (answers == 0 || busyNanos <= 0) {
            return Double.POSITIVE_INFINITY;
        }
        return limit * answers / busyNanos * NANOS_PER_SECOND;
    }
}
