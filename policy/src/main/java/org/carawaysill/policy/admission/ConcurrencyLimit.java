package org.carawaysill.policy.admission;

/**
 * Decides how many requests may be at the copy.
 *
 * <p>Not sealed, so that comparisons in tests can put other ways in the place of {@link LearnedLimit}. Not thread safe.
 */
interface ConcurrencyLimit {

    /**
     * Changes the upper bound.
     *
     * @param published the slots of the copy, at least 1
     */
    void slots(int published);

    /**
     * Learns from a request that ended.
     *
     * @param now nanoseconds on the monotonic clock
     * @param sample the request
     */
    void ended(long now, Sample sample);

    /**
     * Tells the limit.
     *
     * @return 1 to the slots
     */
    int limit();

    /**
     * A request that ended at the copy.
     *
     * @param startedNanos when it was handed to the copy
     * @param inFlight requests at the copy just before the end
     * @param ownNanos how long the copy itself took, without the time that it waited for deeper services
     * @param result what it says about the copy
     */
    record Sample(long startedNanos, int inFlight, long ownNanos, Result result) {}

    /** What the end of a request says about the copy. */
    enum Result {
        /** The copy did its work. */
        SERVED,
        /** The copy could not do its work. */
        FAILED,
        /** Nothing: the cause lies elsewhere. */
        UNCLEAR
    }
}
