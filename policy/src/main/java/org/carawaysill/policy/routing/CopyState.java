package org.carawaysill.policy.routing;

import java.time.Duration;
import java.util.random.RandomGenerator;
import org.carawaysill.model.request.Priority;
import org.carawaysill.policy.message.PeerMessage.LoadReport;

/**
 * What a node knows of a copy: the load it last told, the requests sent to it since, its failures.
 *
 * <p>Invariant: the number of outstanding requests is never negative. Not thread safe: one thread owns it.
 */
final class CopyState {

    private static final double SHARE_AT_START = 0.1;
    private static final long LONGEST_BACKOFF_NANOS = Duration.ofSeconds(10).toNanos();
    private static final long ASSUMED_SERVICE_NANOS = Duration.ofMillis(10).toNanos();
    private static final double LATENCY_WEIGHT = 0.1;

    /** After this time what a copy told counts half. */
    private static final double HALF_LIFE_NANOS = Duration.ofSeconds(1).toNanos();

    /** A copy that was away for a shorter time than this, as after a false suspicion, is as warm as before. */
    private static final long STAYS_WARM_NANOS = Duration.ofSeconds(2).toNanos();

    private final RoutingSettings settings;
    private final boolean sameZone;
    private int slots;
    private int outstanding;
    private boolean usable;
    private long changedNanos = Long.MIN_VALUE / 2;
    private long rampSinceNanos = Long.MIN_VALUE / 2;
    private long avoidUntilNanos = Long.MIN_VALUE;
    private int failures;
    private LoadReport told;
    private long toldNanos = Long.MIN_VALUE / 2;
    private int outstandingWhenTold;
    private double serviceNanos = ASSUMED_SERVICE_NANOS;

    CopyState(RoutingSettings settings, boolean sameZone, int slots) {
        this.settings = settings;
        this.sameZone = sameZone;
        this.slots = slots;
        this.told = new LoadReport(0, slots, 0, 0);
    }

    boolean isInSameZone() {
        return sameZone;
    }

    void slots(int published) {
        slots = published;
    }

    boolean isUsable() {
        return usable;
    }

    void usable(long now, boolean nowUsable) {
        if (nowUsable == usable) {
            return;
        }
        if (nowUsable && now - changedNanos > STAYS_WARM_NANOS) {
            rampSinceNanos = now;
        }
        usable = nowUsable;
        changedNanos = now;
    }

    void sent() {
        outstanding++;
    }

    void released() {
        outstanding = Math.max(0, outstanding - 1);
    }

    void told(long now, LoadReport load) {
        told = load;
        toldNanos = now;
        outstandingWhenTold = outstanding;
    }

    /**
     * An answer came: whatever failed before is over, but a copy that comes back does so step by step.
     *
     * @param now nanoseconds on the monotonic clock
     * @param load its load as it answered
     * @param latencyNanos the time that the request took
     */
    void answered(long now, LoadReport load, long latencyNanos) {
        released();
        told(now, load);
        if (load.queued() == 0) {
            serviceNanos += LATENCY_WEIGHT * (latencyNanos - serviceNanos);
        }
        if (failures > 0 && now >= avoidUntilNanos) {
            failures = 0;
            rampSinceNanos = now;
        }
    }

    /**
     * No answer came. Of the requests that fail together only the first counts, or one lost connection would keep the
     * copy away for the longest time.
     *
     * @param now nanoseconds on the monotonic clock
     * @param random the source of jitter
     */
    void failed(long now, RandomGenerator random) {
        released();
        if (now < avoidUntilNanos) {
            return;
        }
        long backoff = Math.min(LONGEST_BACKOFF_NANOS, settings.failureBackoff().toNanos() << Math.min(failures, 8));
        failures++;
        avoidUntilNanos = now + backoff / 2 + random.nextLong(backoff / 2 + 1);
    }

    /** Whether it failed and its backoff has not passed, or the one request that tries it again is under way. */
    boolean isAvoided(long now) {
        return now < avoidUntilNanos || failures > 0 && outstanding > 0;
    }

    boolean admits(Priority priority) {
        return told.cut() <= priority.level();
    }

    int cut() {
        return told.cut();
    }

    /** The requests of other nodes that the copy had as it last told its load. */
    double othersLoad() {
        return Math.max(0, told.inFlight() + told.queued() - outstandingWhenTold);
    }

    /**
     * Estimates how full the copy would be with one more request.
     *
     * @param now nanoseconds on the monotonic clock
     * @param usualLoad the requests that a copy of this service usually has of other nodes; what a copy told counts the
     *     less the older it is, and this the more
     * @return requests per request that it can run at a time; above 1 some wait
     */
    double fullness(long now, double usualLoad) {
        double fresh = Math.pow(0.5, (now - toldNanos) / HALF_LIFE_NANOS);
        double others = usualLoad + (othersLoad() - usualLoad) * fresh;
        return (others + outstanding + 1) / Math.max(1, Math.min(slots, told.limit()));
    }

    /**
     * The part of its full share that a copy gets which was away or has just started: many nodes, each of which holds it
     * for empty, would else fill a cold copy at once.
     *
     * @param now nanoseconds on the monotonic clock
     * @return a probability that rises to 1
     */
    double share(long now) {
        double warm =
                (double) (now - rampSinceNanos) / Math.max(1, settings.rampUp().toNanos());
        return Math.clamp(warm, SHARE_AT_START, 1);
    }

    /**
     * Estimates the time that a request would lose here: by waiting for a slot, and by the way to another availability
     * zone.
     *
     * @param now nanoseconds on the monotonic clock
     * @param usualLoad as for the fullness
     * @return nanoseconds
     */
    double costNanos(long now, double usualLoad) {
        double wait = Math.max(0, fullness(now, usualLoad) - 1) * serviceNanos;
        return sameZone ? wait : wait + settings.zoneCost().toNanos();
    }
}
