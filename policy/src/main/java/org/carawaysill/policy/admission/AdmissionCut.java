package org.carawaysill.policy.admission;

/**
 * Decides which priority levels have a chance at the local copy.
 *
 * <p>Not sealed, so that comparisons in tests can put other ways in the place of {@link ForecastCut}. Not thread safe.
 */
interface AdmissionCut {

    /**
     * Takes note of a request, admitted or not.
     *
     * @param level its priority level
     */
    void arrived(int level);

    /**
     * Decides anew; called once in a while.
     *
     * @param elapsedNanos time since the last call
     * @param pressure the state of the local copy
     */
    void update(long elapsedNanos, Pressure pressure);

    /**
     * Tells which requests may wait here.
     *
     * @return the lowest level that may
     */
    int lowestWaiting();

    /**
     * Tells which requests callers should send.
     *
     * @return the lowest level that has a chance, 0 for all
     */
    int level();

    /**
     * The state of the local copy when the cut is decided.
     *
     * @param queue what waits
     * @param answersPerSecond what the copy answers with its limit in use
     * @param queueTarget how many should wait, so that no slot is ever free for want of work
     * @param idleShare the share of the limit that was not in use, 0 to 1
     */
    record Pressure(AdmissionQueue queue, double answersPerSecond, double queueTarget, double idleShare) {}
}
