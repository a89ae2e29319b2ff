package org.carawaysill.policy.admission;

import java.util.Arrays;
import org.carawaysill.model.request.Priority;

/**
 * Closes the priority levels whose requests would pile up beyond the queue that the copy needs.
 *
 * <p>From the most important level down it adds up what waits and what will arrive within a short horizon. While that
 * is no more than the copy will answer within the horizon plus the wanted queue, the level is open. The first level
 * that fits in part is the margin. Answers report it as open and as closed in turns, such that its requests fit: a site
 * with few callers, each a large part of the traffic, is neither flooded nor starved.
 *
 * <p>A closed level's arrivals can't be seen, since callers hold them back; the last known number is remembered for a
 * while. The cut rises at once, but only where the wanted queue is already waiting, so that a burst in the arrivals of
 * important requests that fit does not close their level. It falls slowly while all slots are in use, and in doubling
 * steps while nothing waits and slots are idle or nothing arrives, which proves that the cut is too high. So the cut is
 * gone within half a second when there is room.
 *
 * <p>Not thread safe.
 */
final class ForecastCut {

    private static final int LEVELS = Priority.MAXIMUM + 1;
    private static final double HORIZON_NANOS = 200e6;
    private static final double MEMORY_NANOS = 3e9;
    private static final double MEMORY_WEIGHT = 0.3;
    private static final double IDLE_SHARE = 0.05;
    private static final int SHORTEST_FALL = 4;
    private static final int GENTLE_PART = 8;
    private static final double NANOS_PER_SECOND = 1e9;

    private final int[] arrivals = new int[LEVELS];
    private final double[] recent = new double[LEVELS];
    private final double[] openShare = new double[LEVELS];
    private final double[] expected = new double[LEVELS];
    private int margin;
    private double marginShare = 1;
    private double marginCredit;
    private int level;
    private int idleFall = SHORTEST_FALL;

    /** Starts with all levels open. */
    ForecastCut() {
        Arrays.fill(openShare, 1);
    }

    /**
     * Takes note of a request, admitted or not.
     *
     * @param at its priority level
     */
    void arrived(int at) {
        arrivals[at]++;
    }

    /**
     * Decides anew; called once in a while.
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
            idleFall = SHORTEST_FALL;
            fallBy(before, Math.max(SHORTEST_FALL, (before - margin) / GENTLE_PART));
        }
        takeTurn();
    }

    /** Takes the next turn of the margin, open or closed; called with each event, so that answers alternate too. */
    void takeTurn() {
        marginCredit += marginShare;
        boolean open = marginCredit >= 1;
        marginCredit -= open ? 1 : 0;
        level = open ? margin : margin + 1;
    }

    /**
     * Tells whether every level is open all the time.
     *
     * @return whether nothing is closed
     */
    boolean allOpen() {
        return margin == 0 && marginShare == 1;
    }

    /**
     * Tells which requests may wait here.
     *
     * @return the lowest level that may
     */
    int lowestWaiting() {
        return margin;
    }

    /**
     * Tells which requests callers should send.
     *
     * @return the lowest level that has a chance, 0 for all
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
        fallBy(before, idleFall);
        Arrays.fill(expected, margin, before, 0);
        idleFall = Math.min(2 * idleFall, LEVELS);
    }

    private void fallBy(int before, int most) {
        if (margin < before - most) {
            margin = before - most;
            marginShare = 1;
        }
    }

    /**
     * The state of the local copy when the cut is decided.
     *
     * @param queue what waits
     * @param answersPerSecond what the copy answers with its limit in use
     * @param queueTarget how many should wait, so that no slot is free for want of work
     * @param idleShare the share of the limit that was not in use, 0 to 1
     */
    record Pressure(AdmissionQueue queue, double answersPerSecond, double queueTarget, double idleShare) {}
}
