package org.carawaysill.policy.routing;

import java.time.Duration;
import java.util.random.RandomGenerator;
import org.carawaysill.model.request.Priority;
import org.carawaysill.policy.message.PeerMessage.LoadReport;

/**
 * A node's known state of a copy: the load that it last reported, the outstanding requests of this node, and its
 * failures.
 *
 * <p>Invariant: the number of outstanding requests is never negative. Not thread safe: one thread owns it.
 */
final class CopyState {

    private static final double INITIAL_SHARE = 0.1;
    private static final long MAX_BACKOFF_NANOS = Duration.ofSeconds(10).toNanos();
    private static final long ASSUMED_SERVICE_NANOS = Duration.ofMillis(10).toNanos();
    private static final double LATENCY_WEIGHT = 0.1;

    /** The time after which a reported load counts half. */
    private static final double REPORT_HALF_LIFE_NANOS = Duration.ofSeconds(1).toNanos();

    /** A copy that was unusable for a shorter time than this, as after a false suspicion, counts as still warm. */
    private static final long MAX_WARM_ABSENCE_NANOS = Duration.ofSeconds(2).toNanos();

    private final RoutingSettings settings;
    private final boolean sameZone;
    private int slots;
    private int outstanding;
    private boolean usable;
    private long changedNanos = Long.MIN_VALUE / 2;
    private long rampSinceNanos = Long.MIN_VALUE / 2;
    private long avoidUntilNanos = Long.MIN_VALUE;
    private int failures;
    private LoadReport report;
    private long reportNanos = Long.MIN_VALUE / 2;
    private int outstandingAtReport;
    private double serviceNanos = ASSUMED_SERVICE_NANOS;

    CopyState(RoutingSettings settings, boolean sameZone, int slots) {
        this.settings = settings;
        this.sameZone = sameZone;
        this.slots = slots;
        this.report = new LoadReport(0, slots, 0, 0);
    }

    boolean isInSameZone() {
        return sameZone;
    }

    void setSlots(int published) {
        slots = published;
    }

    boolean isUsable() {
        return usable;
    }

    void setUsable(long now, boolean nowUsable) {
        if (nowUsable == usable) {
            return;
        }
        if (nowUsable && now - changedNanos > MAX_WARM_ABSENCE_NANOS) {
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

    void report(long now, LoadReport load) {
        report = load;
        reportNanos = now;
        outstandingAtReport = outstanding;
    }

    /**
     * Records an answer. It ends an earlier failure, but the recovered copy returns to its full share gradually.
     *
     * @param now nanoseconds on the monotonic clock
     * @param load its load at the time of the answer
     * @param latencyNanos the latency of the request
     */
    void answered(long now, LoadReport load, long latencyNanos) {
        released();
        report(now, load);
        if (load.queued() == 0) {
            serviceNanos += LATENCY_WEIGHT * (latencyNanos - serviceNanos);
        }
        if (failures > 0 && now >= avoidUntilNanos) {
            failures = 0;
            rampSinceNanos = now;
        }
    }

    /**
     * Records a request without an answer. Of requests that fail together only the first counts; otherwise one lost
     * connection would lead to the longest backoff.
     *
     * @param now nanoseconds on the monotonic clock
     * @param random the source of jitter
     */
    void failed(long now, RandomGenerator random) {
        released();
        if (now < avoidUntilNanos) {
            return;
        }
        long backoff = Math.min(MAX_BACKOFF_NANOS, settings.failureBackoff().toNanos() << Math.min(failures, 8));
        failures++;
        avoidUntilNanos = now + backoff / 2 + random.nextLong(backoff / 2 + 1);
    }

    /**
     * Returns whether the copy failed and its backoff has not passed, or the single probe request after the backoff is
     * outstanding.
     */
    boolean isAvoided(long now) {
        return now < avoidUntilNanos || failures > 0 && outstanding > 0;
    }

    boolean admits(Priority priority) {
        return report.cut() <= priority.level();
    }

    int cut() {
        return report.cut();
    }

    /** Returns the requests of other nodes at the copy when it last reported its load. */
    double othersLoad() {
        return Math.max(0, report.inFlight() + report.queued() - outstandingAtReport);
    }

    /**
     * Estimates the utilisation of the copy with one more request.
     *
     * @param now nanoseconds on the monotonic clock
     * @param averageLoad the average number of requests of other nodes at a copy of this service; the older the copy's
     *     report is, the less the report counts and the more this average does
     * @return the requests divided by the number that it can run concurrently; above 1 some are queued
     */
    double utilisation(long now, double averageLoad) {
        double fresh = Math.pow(0.5, (now - reportNanos) / REPORT_HALF_LIFE_NANOS);
        double others = averageLoad + (othersLoad() - averageLoad) * fresh;
        return (others + outstanding + 1) / Math.max(1, Math.min(slots, report.limit()));
    }

    /**
     * Returns the current part of the copy's full share, which rises after a start or an outage. Otherwise many nodes,
     * each of which sees the copy as idle, would overload a cold copy at once.
     *
     * @param now nanoseconds on the monotonic clock
     * @return a probability that rises to 1
     */
    double share(long now) {
        double warm =
                (double) (now - rampSinceNanos) / Math.max(1, settings.rampUp().toNanos());
        return Math.clamp(warm, INITIAL_SHARE, 1);
    }

    /**
     * Estimates the delay of a request at this copy: the wait for a slot, and the network delay to another availability
     * zone.
     *
     * @param now nanoseconds on the monotonic clock
     * @param averageLoad the average load, as in {@link #utilisation}
     * @return nanoseconds
     */
    double costNanos(long now, double averageLoad) {
        double wait = Math.max(0, utilisation(now, averageLoad) - 1) * serviceNanos;
        return sameZone ? wait : wait + settings.zoneCost().toNanos();
    }
}
