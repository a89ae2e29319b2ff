package org.carawaysill.policy.admission;

import org.carawaysill.policy.admission.ConcurrencyLimit.Sample;

/**
 * Finds out whether requests at the copy hinder each other, by trying fewer of them.
 *
 * <p>When the mean own time of a round of requests is well above the usual, a trial with a quarter less in flight follows.
 * If the time falls with the number in flight, the lower limit costs no throughput and stays, and the next trial goes
 * lower still. If it does not, the copy is slow for another reason: the limit goes back, and the slower time becomes the
 * usual one, so that one slow spell costs one trial. From a lowered limit, trials go up again step by step, and back at
 * once when nothing is gained.
 *
 * <p>Rounds count requests only while the limit is in use, and only once as many have ended as were in flight when the
 * limit changed: the first to end are the quick ones, and their mean would look like a gain. A limit that is
 * not in use says nothing and is forgotten. Invariant: the limit is between 1 and the slots. Not thread safe.
 */
final class ContentionProbe {

    private static final double SLOWER = 1.5;
    private static final double STEP = 0.75;
    /** How much quicker a request must get for fewer in flight to be as good; {@link #STEP} would give 4/3. */
    private static final double GAIN = 7.0 / 6;

    private static final int ROUND = 48;
    private static final double USUAL_GAIN = 1.0 / 128;
    private static final long REST_NANOS = 1_000_000_000L;
    private static final long SHORTEST_PATIENCE_NANOS = 10_000_000_000L;
    private static final long LONGEST_PATIENCE_NANOS = 60_000_000_000L;

    /** What the present round tries. */
    private enum Trial {
        NONE,
        LOWER,
        HIGHER
    }

    private Trial trial = Trial.NONE;
    private int slots = 1;
    private int limit = 1;
    private int previousLimit = 1;
    private double previousMean;
    private double usualMean;
    private int usualCount;
    private long slowSinceNanos;
    private long patienceNanos = SHORTEST_PATIENCE_NANOS;
    private long restUntilNanos = Long.MIN_VALUE;
    private int unsettled;
    private int count;
    private double sum;

    void restart(int published) {
        slots = published;
        trial = Trial.NONE;
        startRound(published);
    }

    int limit() {
        return limit;
    }

    /**
     * Learns from a request that the copy served.
     *
     * @param now nanoseconds on the monotonic clock
     * @param sample the request
     */
    void served(long now, Sample sample) {
        if (sample.inFlight() <= slots / 2 && limit == slots) {
            learnUsual(sample.ownNanos());
        }
        if (sample.inFlight() < limit) {
            forgetUnused(now);
            return;
        }
        if (unsettled > 0) {
            unsettled--;
            return;
        }
        count++;
        sum += sample.ownNanos();
        if (count >= ROUND) {
            judge(now, sum / count);
        }
    }

    private void learnUsual(long ownNanos) {
        usualCount++;
        usualMean += (ownNanos - usualMean) * Math.max(USUAL_GAIN, 1.0 / usualCount);
    }

    private void forgetUnused(long now) {
        if (limit < slots && trial == Trial.NONE && now >= restUntilNanos) {
            startRound(slots);
        }
    }

    private void judge(long now, double mean) {
        if (trial == Trial.LOWER) {
            judgeLower(now, previousMean / mean);
        } else if (trial == Trial.HIGHER) {
            judgeHigher(now, previousMean / mean);
        } else {
            judgeSteady(now, mean);
        }
    }

    private void judgeSteady(long now, double mean) {
        if (usualCount == 0) {
            usualMean = mean;
            usualCount = count;
        }
        boolean slow = mean > usualMean * SLOWER;
        if (!slow) {
            slowSinceNanos = now;
            patienceNanos = SHORTEST_PATIENCE_NANOS;
        }
        if (slow && limit > 1 && now - slowSinceNanos >= patienceNanos) {
            begin(Trial.LOWER, mean, Math.max(1, (int) (limit * STEP)));
        } else if (limit < slots && now >= restUntilNanos) {
            begin(Trial.HIGHER, mean, Math.min(slots, (int) Math.ceil(limit / STEP)));
        } else {
            startRound(limit);
        }
    }

    private void judgeLower(long now, double speedup) {
        if (speedup < GAIN) {
            trial = Trial.NONE;
            slowSinceNanos = now;
            patienceNanos = Math.min(2 * patienceNanos, LONGEST_PATIENCE_NANOS);
            startRound(previousLimit);
        } else {
            trial = Trial.NONE;
            restUntilNanos = now + REST_NANOS;
            startRound(limit);
        }
    }

    private void judgeHigher(long now, double speedup) {
        if (1 / speedup > GAIN) {
            trial = Trial.NONE;
            restUntilNanos = now + REST_NANOS;
            startRound(previousLimit);
        } else if (limit < slots) {
            begin(Trial.HIGHER, previousMean / speedup, slots);
        } else {
            trial = Trial.NONE;
            startRound(limit);
        }
    }

    private void begin(Trial next, double mean, int nextLimit) {
        trial = next;
        previousMean = mean;
        previousLimit = limit;
        startRound(nextLimit);
    }

    private void startRound(int nextLimit) {
        unsettled = nextLimit == limit ? 0 : 3 * Math.max(limit, nextLimit) / 2;
        limit = nextLimit;
        count = 0;
        sum = 0;
    }
}
