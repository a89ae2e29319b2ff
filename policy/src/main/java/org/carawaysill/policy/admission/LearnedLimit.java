package org.carawaysill.policy.admission;

/**
 * The published slots, unless the copy shows that it can't use them.
 *
 * <p>Two signs lower the limit. A failure lowers it by a part at once; each answer raises it again, and for a while not
 * beyond the number at which it failed. A copy that gets slower is asked a question before the limit falls for good:
 * does the time per request shrink with fewer requests in flight? If it does, they hinder each other, and the limit
 * goes down as long as that costs no throughput; if not, the copy is slow for another reason, and a lower limit would
 * only waste its slots. More is tried again and again.
 *
 * <p>Invariant: between 1 and the slots. Not thread safe.
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
     * Changes the upper bound; a new one starts the learning afresh.
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
     * Tells the limit.
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
     * <p>A failure of a single request says nothing about how many are too many: a copy that was down must get its
     * slots back as soon as it answers.
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
