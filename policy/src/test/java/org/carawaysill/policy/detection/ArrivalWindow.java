package org.carawaysill.policy.detection;

import java.util.ArrayDeque;
import java.util.Deque;

/** Keeps the last 200 arrivals of heartbeats sent on a fixed schedule, and estimates the next one. Not thread safe. */
final class ArrivalWindow {

    private static final int SIZE = 200;

    private record Arrival(double offset, double interval) {}

    private final Deque<Arrival> arrivals = new ArrayDeque<>();
    private final long schedule;
    private long last;
    private int lastSequence;
    private double offsets;
    private double intervals;
    private double squares;

    ArrivalWindow(long schedule) {
        this.schedule = schedule;
    }

    void add(long now, int sequence) {
        Arrival arrival = new Arrival(now - (double) schedule * sequence, arrivals.isEmpty() ? schedule : now - last);
        count(arrival, 1);
        arrivals.addLast(arrival);
        if (arrivals.size() > SIZE) {
            count(arrivals.removeFirst(), -1);
        }
        last = now;
        lastSequence = sequence;
    }

    private void count(Arrival arrival, int sign) {
        offsets += sign * arrival.offset;
        intervals += sign * arrival.interval;
        squares += sign * arrival.interval * arrival.interval;
    }

    int size() {
        return arrivals.size();
    }

    long last() {
        return last;
    }

    double meanInterval() {
        return intervals / size();
    }

    double standardDeviation() {
        return Math.sqrt(Math.max(0, squares / size() - meanInterval() * meanInterval()));
    }

    /** Returns Chen's expected arrival of the next heartbeat (equation 2 of the paper on the self-tuning detector). */
    double expectedNext() {
        return offsets / size() + (double) schedule * (lastSequence + 1);
    }
}
