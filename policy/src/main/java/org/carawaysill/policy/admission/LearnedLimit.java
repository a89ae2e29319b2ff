package org.carawaysill.policy.admission;

/**
 * Learns the concurrency limit of the copy: the published slots, unless the copy turns out not to sustain them.
 *
 * <p>Two signals lower the limit. A failure lowers it at once by {@link #FAILURE_FACTOR}; each answer raises it again by
 * one, but for {@link #HOLD_NANOS} not to the number at which the copy failed. When the copy gets slower, a {@link
 * ContentionProbe} tests whether the time per request shrinks with fewer requests in flight. If it does, they contend
 * with each other, and the limit goes down as long as that costs no throughput; if not, the copy is slow for another
 * reason, and a lower limit would only waste its slots. A higher limit is tried at intervals.
 *
 * <p>Invariant: the limit is between 1 and the slots. Not thread safe.
 */
final class LearnedLimit {

    private static final double FAILURE_FACTOR = 0.7;
    private static final long HOLD_NANOS = 500_000_000L;

    private final ContentionProbe probe = new ContentionProbe();
    private int slots;
    private int allowed = 1;
    private int ceiling = 1;
    private long lastFallNanos = Long.MIN_VALUE;
    private long holdUntilNanos;

    /**
     * Changes the upper bound; a different one discards what was learned.
     *
     * @param published the slots of the copy
     * @throws IllegalArgumentException if that is less than 1
     */
    void slots(int published) {
        if (published < 1) {
            throw new IllegalArgumentException("a copy has at least one slot");
        }
        if (published == slots) {
            return;
        }
        slots = published;
        allowed = published;
        ceiling = published;
        probe.restart(published);
    }

    /**
     * Learns from a request that ended.
     *
     * @param now nanoseconds on the monotonic clock
     * @param sample the request
     */
    void ended(long now, Sample sample) {
        if (sample.result() == Result.SERVED) {
            served(now, sample);
        } else if (sample.result() == Result.FAILED) {
            failed(now, sample);
        }
    }

    /**
     * Returns the limit.
     *
     * @return 1 to the slots
     */
    int limit() {
        return Math.min(allowed, probe.limit());
    }

    private void served(long now, Sample sample) {
        if (allowed == slots) {
            probe.served(now, sample);
            return;
        }
        if (allowed >= ceiling && now >= holdUntilNanos) {
            ceiling = slots;
        }
        if (sample.startedNanos() >= lastFallNanos && allowed < ceiling) {
            allowed++;
        }
    }

    /**
     * Lowers the limit, once for all requests that were in flight together.
     *
     * <p>A failure with a single request in flight does not set a ceiling, since it does not show how many are too many:
     * a copy that was down must get its slots back as soon as it answers.
     */
    private void failed(long now, Sample sample) {
        if (sample.startedNanos() < lastFallNanos) {
            return;
        }
        lastFallNanos = now;
        allowed = Math.max(1, (int) (Math.min(limit(), sample.inFlight()) * FAILURE_FACTOR));
        ceiling = sample.inFlight() == 1 ? slots : Math.min(slots, sample.inFlight() - 1);
        holdUntilNanos = now + HOLD_NANOS;
    }

    /**
     * A request that ended at the copy.
     *
     * @param startedNanos when it was handed to the copy
     * @param inFlight requests at the copy just before the end
     * @param ownNanos how long the copy itself took, without the time that it waited for deeper services
     * @param result what its end shows about the copy
     */
    record Sample(long startedNanos, int inFlight, long ownNanos, Result result) {}

    /** What the end of a request shows about the copy. */
    enum Result {
        /** The copy served the request. */
        SERVED,
        /** The copy failed to serve the request. */
        FAILED,
        /** Nothing, because the cause may lie with a deeper service. */
        UNCLEAR
    }
}
