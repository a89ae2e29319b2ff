package org.carawaysill.policy.admission;

import org.carawaysill.policy.admission.ForecastCut.Pressure;

/**
 * Updates the admission cut once per period while levels are closed or requests wait.
 *
 * <p>Invariant: while levels are closed or requests wait, {@link #nextUpdateNanos} is at most a period away, so the cut
 * also falls when no events arrive. Not thread safe.
 */
final class CutSchedule {

    private static final long PERIOD_NANOS = 50_000_000L;

    private final ForecastCut cut = new ForecastCut();
    private long lastNanos = Long.MIN_VALUE;
    private double busyNanos;

    void arrived(int level) {
        cut.arrived(level);
    }

    /**
     * Adds to the time for which slots were in use.
     *
     * @param now nanoseconds on the monotonic clock
     * @param nanos elapsed time, summed over the requests at the copy
     */
    void busy(long now, double nanos) {
        if (lastNanos == Long.MIN_VALUE) {
            lastNanos = now;
        }
        busyNanos += nanos;
        cut.alternateMargin();
    }

    boolean due(long now) {
        return now - lastNanos >= PERIOD_NANOS;
    }

    /**
     * Updates the cut.
     *
     * @param now nanoseconds on the monotonic clock
     * @param queue the waiting requests
     * @param queueTarget how many should wait
     * @param limit the concurrency limit
     * @param answersPerSecond the rate of answers of the copy with its limit fully used
     */
    void update(long now, AdmissionQueue queue, double queueTarget, int limit, double answersPerSecond) {
        long elapsed = now - lastNanos;
        double idleShare = Math.clamp(1 - busyNanos / ((double) elapsed * limit), 0, 1);
        cut.update(elapsed, new Pressure(queue, answersPerSecond, queueTarget, idleShare));
        lastNanos = now;
        busyNanos = 0;
    }

    long nextUpdateNanos(AdmissionQueue queue) {
        return queue.isEmpty() && !overloaded() ? Long.MAX_VALUE : lastNanos + PERIOD_NANOS;
    }

    boolean overloaded() {
        return !cut.allOpen();
    }

    int lowestWaiting() {
        return cut.lowestWaiting();
    }

    int level() {
        return cut.level();
    }
}
