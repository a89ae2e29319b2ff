package org.carawaysill.policy.fleet.copy;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Learns whether the copy finishes more requests when a twentieth of its slots stays free than when all of them are in
 * use.
 *
 * <p>Guards against a copy that slows down when it is nearly full: the time of each request grows by more than the last
 * slots add in concurrency. Under overload, this shows as a service that finishes a fifth less than its slots allow
 * although all of them are busy. The time of each request is divided by the mean for requests of the same kind; the
 * quotients are averaged separately for requests that began in the last slots and for all others. At 2.3 times the
 * usual load in virtual time, copies that slow down by a factor of 1.3 with less than a twentieth of their slots free
 * serve 0.85 of the requests within their target time with this limit, and 0.76 without it.
 *
 * <p>Invariant: the limit is the number of the copy's slots, or about a twentieth less, but at least 1. Not thread
 * safe: owned by the policy.
 */
final class NearFullLimit {

    /**
     * A copy counts as nearly full above this part of its slots. With fewer slots left free, the effect cannot be
     * distinguished from random bunching of requests.
     */
    private static final double NEARLY_FULL_PART = 0.95;

    /**
     * The least number of samples on each side of the comparison. If the standard deviation of times is about half
     * their mean, so many distinguish a difference of a fifth from none.
     */
    private static final int MINIMUM_SAMPLES = 150;

    /** The least number of samples before the mean time for a kind of request is used. */
    private static final int MINIMUM_SAMPLES_OF_KIND = 20;

    /** Bounds the memory where operators rename routes frequently. */
    private static final int MAXIMUM_KINDS = 1024;

    /** The weight of one more sample in the moving averages, which cover about the last two hundred. */
    private static final double SAMPLE_WEIGHT = 0.005;

    /** While there are too few samples, the last slots are used and left free in turn, for this long each. */
    private static final long ALTERNATION_NANOS = Duration.ofMillis(200).toNanos();

    /** How often the last slots are tried again while they are left free, since the copy may have changed. */
    private static final long TRIAL_INTERVAL_NANOS = Duration.ofSeconds(15).toNanos();

    /** The length of such a trial. */
    private static final long TRIAL_NANOS = Duration.ofMillis(500).toNanos();

    private final boolean enabled;
    private final Map<WorkKind, Average> meanByKind = new HashMap<>();
    private Average nearFull = new Average();
    private Average otherwise = new Average();
    private int slots = 1;
    private long resetNanos;

    /**
     * Requests whose times can be compared: calls at the same depth on behalf of the same root route. Immutable and
     * thread safe.
     */
    record WorkKind(String rootRoute, int depth) {}

    NearFullLimit(boolean enabled) {
        this.enabled = enabled;
    }

    /** Sets the number of slots of the copy, or notes its restart, and discards all samples. */
    void reset(long now, int newSlots) {
        slots = newSlots;
        nearFull = new Average();
        otherwise = new Average();
        meanByKind.clear();
        resetNanos = now;
    }

    private int reducedLimit() {
        return Math.max(1, (int) Math.ceil(NEARLY_FULL_PART * slots) - 1);
    }

    /** Returns how many requests may run at the copy at once. */
    int limit(long now) {
        return enabled && isReduced(now) ? reducedLimit() : slots;
    }

    private boolean isReduced(long now) {
        if (nearFull.count < MINIMUM_SAMPLES || otherwise.count < MINIMUM_SAMPLES) {
            return (now - resetNanos) / ALTERNATION_NANOS % 2 == 0;
        }
        boolean slower = nearFull.mean * reducedLimit() > otherwise.mean * slots;
        return slower && !isTrial(now);
    }

    private boolean isTrial(long now) {
        return (now - resetNanos) % TRIAL_INTERVAL_NANOS >= TRIAL_INTERVAL_NANOS - TRIAL_NANOS;
    }

    /**
     * Adds a sample of an answered request.
     *
     * @param kind the kind of the request
     * @param nanos how long the copy worked on it, without the time of its own calls
     * @param running how many requests ran at the copy when it began, itself included
     */
    void answered(WorkKind kind, long nanos, int running) {
        if (meanByKind.size() >= MAXIMUM_KINDS) {
            meanByKind.clear();
        }
        Average known = meanByKind.computeIfAbsent(kind, _ -> new Average());
        known.add(nanos);
        if (known.count < MINIMUM_SAMPLES_OF_KIND || known.mean <= 0) {
            return;
        }
        Average average = running > reducedLimit() ? nearFull : otherwise;
        average.add(nanos / known.mean);
    }

    private static final class Average {

        private int count;
        private double mean;

        void add(double value) {
            count++;
            mean += Math.max(SAMPLE_WEIGHT, 1.0 / count) * (value - mean);
        }
    }
}
