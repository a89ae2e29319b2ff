package org.carawaysill.policy.admission;

import org.carawaysill.policy.admission.LearnedLimit.Sample;

/**
 * Detects whether requests contend for resources of the copy, by running trials with a lower concurrency limit.
 *
 * <p>When the mean own time of a round of requests has stayed well above the baseline for a while, a trial with a quarter
 * fewer in flight follows. If the time falls with the number in flight, the lower limit costs no throughput and stays,
 * and the next trial goes lower still. If it does not, the copy is slow for another reason: the limit is restored, and
 * the next trial waits twice as long, since each trial costs a part of the slots. From a lowered limit, trials with a
 * higher one follow, which are undone when they gain nothing.
 *
 * <p>Rounds count requests only while the limit is fully used, and only once one and a half times the larger of the old
 * and the new limit have ended since a change: the first to end are the quick ones, and their mean would look like a
 * gain. A lowered limit that is not fully used gives no evidence and is reset to the slots. Invariant: the limit is
 * between 1 and the slots. Not thread safe.
 */
final class ContentionProbe {

    private static final double SLOW_FACTOR = 1.5;
    private static final double LIMIT_FACTOR = 0.75;
    /** The least speedup that makes a lower limit as good; in proportion to {@link #LIMIT_FACTOR} it would be 4/3. */
    private static final double MINIMUM_SPEEDUP = 7.0 / 6;

    private static final int REQUESTS_PER_ROUND = 48;
    private static final double BASELINE_GAIN = 1.0 / 128;
    private static final long PAUSE_NANOS = 1_000_000_000L;
    private static final long MINIMUM_TRIAL_DELAY_NANOS = 10_000_000_000L;
    private static final long MAXIMUM_TRIAL_DELAY_NANOS = 60_000_000_000L;

    /** The direction of the current trial. */
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
    private double baselineMean;
    private int baselineCount;
    private boolean slow;
    private long slowSinceNanos;
    private long trialDelayNanos = MINIMUM_TRIAL_DELAY_NANOS;
    private long pausedUntilNanos = Long.MIN_VALUE;
    private int warmUpRequests;
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
            updateBaseline(sample.ownNanos());
        }
        if (sample.inFlight() < limit) {
            resetUnusedLimit(now);
            return;
        }
        if (warmUpRequests > 0) {
            warmUpRequests--;
            return;
        }
        count++;
        sum += sample.ownNanos();
        if (count >= REQUESTS_PER_ROUND) {
            evaluateRound(now, sum / count);
        }
    }

    private void updateBaseline(long ownNanos) {
        baselineCount++;
        baselineMean += (ownNanos - baselineMean) * Math.max(BASELINE_GAIN, 1.0 / baselineCount);
    }

    private void resetUnusedLimit(long now) {
        if (limit < slots && trial == Trial.NONE && now >= pausedUntilNanos) {
            startRound(slots);
        }
    }

    private void evaluateRound(long now, double mean) {
        if (trial == Trial.LOWER) {
            evaluateLowerLimit(now, previousMean / mean);
        } else if (trial == Trial.HIGHER) {
            evaluateHigherLimit(now, previousMean / mean);
        } else {
            evaluateWithoutTrial(now, mean);
        }
    }

    private void evaluateWithoutTrial(long now, double mean) {
        if (baselineCount == 0) {
            baselineMean = mean;
            baselineCount = count;
        }
        boolean wasSlow = slow;
        slow = mean > baselineMean * SLOW_FACTOR;
        if (!slow) {
            trialDelayNanos = MINIMUM_TRIAL_DELAY_NANOS;
        } else if (!wasSlow) {
            slowSinceNanos = now;
        }
        if (slow && limit > 1 && now - slowSinceNanos >= trialDelayNanos) {
            beginTrial(Trial.LOWER, mean, Math.max(1, (int) (limit * LIMIT_FACTOR)));
        } else if (limit < slots && now >= pausedUntilNanos) {
            beginTrial(Trial.HIGHER, mean, Math.min(slots, (int) Math.ceil(limit / LIMIT_FACTOR)));
        } else {
            startRound(limit);
        }
    }

    private void evaluateLowerLimit(long now, double speedup) {
        if (speedup < MINIMUM_SPEEDUP) {
            trial = Trial.NONE;
            slowSinceNanos = now;
            trialDelayNanos = Math.min(2 * trialDelayNanos, MAXIMUM_TRIAL_DELAY_NANOS);
            startRound(previousLimit);
        } else {
            trial = Trial.NONE;
            pausedUntilNanos = now + PAUSE_NANOS;
            startRound(limit);
        }
    }

    private void evaluateHigherLimit(long now, double speedup) {
        if (1 / speedup > MINIMUM_SPEEDUP) {
            trial = Trial.NONE;
            pausedUntilNanos = now + PAUSE_NANOS;
            startRound(previousLimit);
        } else if (limit < slots) {
            beginTrial(Trial.HIGHER, previousMean / speedup, slots);
        } else {
            trial = Trial.NONE;
            startRound(limit);
        }
    }

    private void beginTrial(Trial next, double mean, int nextLimit) {
        trial = next;
        previousMean = mean;
        previousLimit = limit;
        startRound(nextLimit);
    }

    private void startRound(int nextLimit) {
        warmUpRequests = nextLimit == limit ? 0 : 3 * Math.max(limit, nextLimit) / 2;
        limit = nextLimit;
        count = 0;
        sum = 0;
    }
}
