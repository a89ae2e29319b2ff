package org.carawaysill.policy.admission;

import java.util.Arrays;
import org.carawaysill.model.request.Priority;

/**
 * Closes the priority levels whose requests would pile up beyond the queue that the copy needs.
 *
 * <p>From the most important level down it adds up what waits and what will arrive within a short horizon. While that is
 * no more than the copy will answer within the horizon plus the wanted queue, the level is open. The first level that
 * fits in part is the margin. It is reported as open in a part of the periods, such that its requests fit: a site with
 * few callers, each a large part of the traffic, is neither flooded nor starved.
 *
 * <p>A closed level's arrivals can't be seen, since callers hold them back; the last known number is remembered for a
 * while. The cut rises at once, but only where the wanted queue is already waiting, so that a burst in the arrivals of
 * important requests that fit does not close their level. It falls slowly while all slots are in use, and in doubling
 * steps while slots are idle: idle slots beside a closed level prove that the cut is too high. So the cut is gone within
 * half a second when there is room, also when nothing arrives at all.
 *
 * <p>Not thread safe.
 */
final class ForecastCut implements AdmissionCut {

    private static final int LEVELS = Priority.MAXIMUM + 1;
    private static final double HORIZON_NANOS = 200e6;
    private static final double MEMORY_NANOS = 1e9;
    private static final double MEMORY_WEIGHT = 0.3;
    private static final double IDLE_SHARE = 0.05;
    private static final int SHORTEST_FALL = 4;
    private static final double NANOS_PER_SECOND = 1e9;

    private final int[] arrivals = new int[LEVELS];
    private final double[] recent = new double[LEVELS];
    private final double[] openShare = new double[LEVELS];
    private final double[] expected = new double[LEVELS];
    private int margin;
    private double marginShare = 1;
    private double marginCredit;
    private int level;
    private int fall = SHORTEST_FALL;

    /** Starts with all levels open. */
    ForecastCut() {
        Arrays.fill(openShare, 1);
    }

    @Override
    public void arrived(int at) {
        arrivals[at]++;
    }

    @Override
    public void update(long elapsedNanos, Pressure pressure) {
        observe(elapsedNanos);
        int before = margin;
        forecast(pressure);
        if (pressure.queue().isEmpty() && pressure.idleShare() > IDLE_SHARE) {
            reopen(before, fall);
            fall = Math.min(2 * fall, LEVELS);
        } else {
            fall = SHORTEST_FALL;
            if (margin < before - SHORTEST_FALL) {
                reopen(before, SHORTEST_FALL);
            }
        }
        report();
    }

    @Override
    public int lowestWaiting() {
        return margin;
    }

    @Override
    public int level() {
        return level;
    }

    private void observe(long elapsedNanos) {
        double kept = Math.exp(-elapsedNanos / HORIZON_NANOS);
        double remembered = MEMORY_WEIGHT * Math.exp(-elapsedNanos / MEMORY_NANOS);
        for (int at = 0; at < LEVELS; at++) {
            recent[at] = recent[at] * kept + arrivals[at];
            openShare[at] = openShare[at] * kept + (at >= level ? 1 - kept : 0);
            expected[at] = (recent[at] + remembered * expected[at]) / (openShare[at] + MEMORY_WEIGHT);
            arrivals[at] = 0;
        }
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

    private void reopen(int before, int levels) {
        margin = Math.max(0, before - levels);
        marginShare = 1;
        Arrays.fill(expected, margin, before, 0);
    }

    private void report() {
        marginCredit += marginShare;
        boolean open = marginCredit >= 1;
        marginCredit -= open ? 1 : 0;
        level = open ? margin : margin + 1;
    }
}
