package org.carawaysill.policy.admission;

import java.util.Arrays;
import org.carawaysill.model.request.Priority;

/**
 * Closes the priority levels whose requests would make the queue longer than the copy needs.
 *
 * <p>From the most important level down, it adds up the waiting requests and those expected to arrive within a short
 * horizon. A level is open while the sum is no more than the copy will answer within the horizon plus the target queue.
 * The first level that fits only in part is the margin. Answers report it alternately as open and as closed, in the
 * proportion that makes its requests fit, so that a service with few callers, each a large part of the traffic, is
 * neither flooded nor starved.
 *
 * <p>Arrivals at a closed level can't be observed, since callers hold them back; the last known number is remembered for a
 * while. The cut rises at once, but only if the target queue is already waiting, so that a burst of important requests
 * that fit does not close their level. It falls slowly while all slots are in use, and in doubling steps while nothing
 * waits and slots are idle or nothing arrives, which proves that the cut is too high. So the cut falls to zero within
 * half a second when there is room.
 *
 * <p>Not thread safe.
 */
final class ForecastCut {

    private static final int LEVELS = Priority.MAXIMUM + 1;
    private static final double HORIZON_NANOS = 200e6;
    private static final double MEMORY_NANOS = 3e9;
    private static final double MEMORY_WEIGHT = 0.3;
    private static final double IDLE_SHARE = 0.05;
    private static final int MINIMUM_FALL = 4;
    private static final int SLOW_FALL_DIVISOR = 8;
    private static final double NANOS_PER_SECOND = 1e9;

    private final int[] arrivals = new int[LEVELS];
    private final double[] recent = new double[LEVELS];
    private final double[] openShare = new double[LEVELS];
    private final double[] expected = new double[LEVELS];
    private int margin;
    private double marginShare = 1;
    private double marginCredit;
    private int level;
    private int idleFall = MINIMUM_FALL;

    /** Starts with all levels open. */
    ForecastCut() {
        Arrays.fill(openShare, 1);
    }

    /**
     * Counts the arrival of a request, admitted or not.
     *
     * @param at its priority level
     */
    void arrived(int at) {
        arrivals[at]++;
    }

    /**
     * Updates the cut; called once per period.
     *
     * @param elapsedNanos time since the last call
     * @param pressure the state of the local copy
     */
    void update(long elapsedNanos, Pressure pressure) {
        int arrived = observe(elapsedNanos);
        int before = margin;
        forecast(pressure);
        boolean room = arrived == 0 || pressure.idleShare() > IDLE_SHARE;
        if (room && pressure.queue().isEmpty()) {
            reopen(before);
        } else {
            idleFall = MINIMUM_FALL;
            limitFall(before, Math.max(MINIMUM_FALL, (before - margin) / SLOW_FALL_DIVISOR));
        }
        alternateMargin();
    }

    /** Opens or closes the margin for the next answers; called with each event, so that successive answers alternate. */
    void alternateMargin() {
        marginCredit += marginShare;
        boolean open = marginCredit >= 1;
        marginCredit -= open ? 1 : 0;
        level = open ? margin : margin + 1;
    }

    /**
     * Returns whether every level is open, the margin included.
     *
     * @return whether no level is closed
     */
    boolean allOpen() {
        return margin == 0 && marginShare == 1;
    }

    /**
     * Returns which requests may wait here.
     *
     * @return the lowest level that may
     */
    int lowestWaiting() {
        return margin;
    }

    /**
     * Returns which requests callers should send.
     *
     * @return the lowest level that is admitted, 0 for all
     */
    int level() {
        return level;
    }

    private int observe(long elapsedNanos) {
        int arrived = 0;
        double kept = Math.exp(-elapsedNanos / HORIZON_NANOS);
        double remembered = MEMORY_WEIGHT * Math.exp(-elapsedNanos / MEMORY_NANOS);
        for (int at = 0; at < LEVELS; at++) {
            recent[at] = recent[at] * kept + arrivals[at];
            openShare[at] = openShare[at] * kept + (1 - kept) * openNow(at);
            expected[at] = (recent[at] + remembered * expected[at]) / (openShare[at] + MEMORY_WEIGHT);
            arrived += arrivals[at];
            arrivals[at] = 0;
        }
        return arrived;
    }

    private double openNow(int at) {
        return at > margin ? 1 : at == margin ? marginShare : 0;
    }

    private void forecast(Pressure pressure) {
        double room = pressure.answersPerSecond() * HORIZON_NANOS / NANOS_PER_SECOND + pressure.queueTarget();
        int waiting = 0;
        for (int at = LEVELS - 1; at >= 0; at--) {
            int waitingHere = pressure.queue().countAt(at);
            waiting += waitingHere;
            if (waitingHere + expected[at] > room && waiting >= pressure.queueTarget()) {
                margin = at;
                marginShare = Math.clamp((room - waitingHere) / expected[at], 0, 1);
                return;
            }
            room -= waitingHere + expected[at];
        }
        margin = 0;
        marginShare = 1;
    }

    private void reopen(int before) {
        limitFall(before, idleFall);
        Arrays.fill(expected, margin, before, 0);
        idleFall = Math.min(2 * idleFall, LEVELS);
    }

    private void limitFall(int before, int most) {
        if (margin < before - most) {
            margin = before - most;
            marginShare = 1;
        }
    }

    /**
     * The state of the local copy when the cut is decided.
     *
     * @param queue the waiting requests
     * @param answersPerSecond the rate of answers of the copy with its limit fully used
     * @param queueTarget how many should wait, so that no slot idles for lack of work
     * @param idleShare the share of the limit that was not in use, 0 to 1
     */
    record Pressure(AdmissionQueue queue, double answersPerSecond, double queueTarget, double idleShare) {}
}
