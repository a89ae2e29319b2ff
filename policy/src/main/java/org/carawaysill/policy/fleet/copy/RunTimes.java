package org.carawaysill.policy.fleet.copy;

import org.carawaysill.policy.time.Nanos;

/**
 * How long the local copy recently took for requests, with and without the time of their calls.
 *
 * <p>Not thread safe: owned by the gate.
 */
final class RunTimes {

    private static final double SERVICE_TIME_WEIGHT = 0.05;

    private final WorkTime workTime = new WorkTime();
    private double serviceNanos;

    /** Notes that the copy answered a request. */
    void answered(long now, LocalRun run) {
        double took = now - run.startedNanos();
        run.times().add(run.request().service(), took / Nanos.PER_SECOND);
        serviceNanos += serviceNanos == 0 ? took : SERVICE_TIME_WEIGHT * (took - serviceNanos);
    }

    /** Notes how long the copy worked on a request that it fulfilled, without the time of its calls. */
    void worked(long now, long nanos) {
        workTime.add(now, nanos);
    }

    /** Returns the mean time for a request, its calls included, 0 while unknown. */
    double serviceNanos() {
        return serviceNanos;
    }

    /** Returns the mean time for a request without its calls, 0 while unknown. */
    double workSeconds(long now) {
        return workTime.seconds(now);
    }

    /** Discards the work times of the copy's earlier process. */
    void copyRestarted() {
        workTime.reset();
    }
}
