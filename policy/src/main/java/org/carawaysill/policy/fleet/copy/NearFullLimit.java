package org.carawaysill.policy.fleet.copy;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Learns whether the copy does more with its last slots free than with all of them taken.
 *
 * <p>Guards against a copy that slows down when it is nearly full, which shows under overload as a service that finishes a
 * fifth less than its slots allow, while all of them are busy: its work then takes longer by more than the last slots add.
 * Times of work are compared with the mean for work of the same kind, once for work that began in the last slots and once
 * for all other work. At 2.3 times the usual load in virtual time, copies that slow down by 1.3 with less than a twentieth of
 * their slots free then serve 0.85 in place of 0.76 of the requests within their aim.
 *
 * <p>Invariant: the limit is the copy's slots, or a twentieth less. Not thread safe: owned by the policy.
 */
final class NearFullLimit {

    /** From this part of its slots on a copy counts as nearly full: fewer free ones can't be told from clumps. */
    private static final double NEARLY_FULL_PART = 0.95;

    /** With a spread of times of about half their mean, so many tell a difference of a fifth from none. */
    private static final int ENOUGH_TIMES = 150;

    /** With fewer, the usual time for a kind of work is not known. */
    private static final int FEW_TIMES = 20;

    /** Bounds the memory where operators rename routes all day. */
    private static final int MOST_KINDS = 1024;

    /** The weight of one more time: the last two hundred or so count. */
    private static final double TIME_WEIGHT = 0.005;

    /** Before enough is known, the last slots are used and left free in turn for so long. */
    private static final long SLICE_NANOS = Duration.ofMillis(200).toNanos();

    /** How often slots that are left free are tried again, since copies change. */
    private static final long TRIAL_INTERVAL_NANOS = Duration.ofSeconds(15).toNanos();

    /** How long they are tried. */
    private static final long TRIAL_NANOS = Duration.ofMillis(500).toNanos();

    private final boolean enabled;
    private final Map<WorkKind, Average> usual = new HashMap<>();
    private Average nearFull = new Average();
    private Average otherwise = new Average();
    private int slots = 1;
    private long resetNanos;

    /** Work whose times can be compared: calls of one depth for requests of one route. Immutable and thread safe. */
    record WorkKind(String rootRoute, int depth) {}

    NearFullLimit(boolean enabled) {
        this.enabled = enabled;
    }

    /** Receives how many slots the copy has, or that it was started anew. */
    void reset(long now, int newSlots) {
        slots = newSlots;
        nearFull = new Average();
        otherwise = new Average();
        usual.clear();
        resetNanos = now;
    }

    private int reduced() {
        return Math.max(1, (int) Math.ceil(NEARLY_FULL_PART * slots) - 1);
    }

    /** Returns how many requests may be at the copy. */
    int limit(long now) {
        return enabled && isReduced(now) ? reduced() : slots;
    }

    private boolean isReduced(long now) {
        if (nearFull.count < ENOUGH_TIMES || otherwise.count < ENOUGH_TIMES) {
            return (now - resetNanos) / SLICE_NANOS % 2 == 0;
        }
        boolean slower = nearFull.mean * reduced() > otherwise.mean * slots;
        return slower && !isTrial(now);
    }

    private boolean isTrial(long now) {
        return (now - resetNanos) % TRIAL_INTERVAL_NANOS >= TRIAL_INTERVAL_NANOS - TRIAL_NANOS;
    }

    /**
     * Learns from a request that was answered.
     *
     * @param kind what it was
     * @param nanos how long the copy worked on it, without the time of its calls
     * @param running how many were at the copy when it began, itself included
     */
    void answered(WorkKind kind, long nanos, int running) {
        if (usual.size() >= MOST_KINDS) {
            usual.clear();
        }
        Average known = usual.computeIfAbsent(kind, _ -> new Average());
        known.add(nanos);
        if (known.count < FEW_TIMES || known.mean <= 0) {
            return;
        }
        Average average = running > reduced() ? nearFull : otherwise;
        average.add(nanos / known.mean);
    }

    private static final class Average {

        private int count;
        private double mean;

        void add(double value) {
            count++;
            mean += Math.max(TIME_WEIGHT, 1.0 / count) * (value - mean);
        }
    }
}
