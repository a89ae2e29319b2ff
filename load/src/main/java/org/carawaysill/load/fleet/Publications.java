package org.carawaysill.load.fleet;

import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.carawaysill.load.report.Latency;

/** The publications of one phase. Not thread safe: used by the main thread only. */
final class Publications {

    private static final int DIGITS = 3;

    private final Histogram inForce = new Histogram(DIGITS);
    private int count;
    private int overdue;

    void published() {
        count++;
    }

    void inForceAfter(long nanos) {
        inForce.recordValue(TimeUnit.NANOSECONDS.toMicros(nanos));
    }

    void notInForce() {
        overdue++;
    }

    int count() {
        return count;
    }

    int overdue() {
        return overdue;
    }

    Latency inForce() {
        return Latency.of(inForce);
    }
}
