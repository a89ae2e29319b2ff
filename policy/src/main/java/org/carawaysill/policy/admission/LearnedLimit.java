package org.carawaysill.policy.admission;

/**
 * The published slots, unless the copy shows that it can't use them.
 *
 * <p>Two signs lower the limit. A failure lowers it by a part at once; each answer raises it again, and for a while not
 * beyond the number at which it failed. A copy that gets slower is asked a question before the limit falls for good: does
 * the time per request shrink with fewer requests in flight? If it does, they hinder each other, and the limit goes down
 * as long as that costs no throughput; if not, the copy is slow for another reason, a lower limit would only waste its
 * slots, and the slower time becomes the usual one. More is tried again and again.
 *
 * <p>Invariant: between 1 and the slots. Not thread safe.
 */
final class LearnedLimit implements ConcurrencyLimit {

    private static final double FAILURE_FACTOR = 0.7;
    private static final long HOLD_NANOS = 500_000_000L;

    private final ContentionProbe probe = new ContentionProbe();
    private int slots = 1;
    private int allowed = 1;
    private int ceiling = 1;
    private long lastFallNanos = Long.MIN_VALUE;
    private long holdUntilNanos;

    @Override
    public void slots(int published) {
        slots = published;
        allowed = published;
        ceiling = published;
        probe.restart(published);
    }

    @Override
    public void ended(long now, Sample sample) {
        if (sample.result() == Result.SERVED) {
            served(now, sample);
        } else if (sample.result() == Result.FAILED) {
            failed(now, sample);
        }
    }

    @Override
    public int limit() {
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
     * <p>A failure of a single request says nothing about how many are too many: a copy that was down must get its slots
     * back as soon as it answers.
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
}
