package org.carawaysill.policy.fleet.placing;

import java.time.Duration;

/**
 * The usual times at the copies of a service, and how full they are.
 *
 * <p>Taken anew for reports of any number, at most once in {@link #INTERVAL_NANOS}. Not thread safe: owned by the policy.
 */
public final class ServiceMeans {

    private static final long INTERVAL_NANOS = Duration.ofMillis(50).toNanos();

    /** Assumed for a run while no copy has reported any. */
    private static final double UNKNOWN_RUN_SECONDS = 0.05;

    /** The weight of one more request in the usual hurry: about the last hundred count. */
    private static final double HURRY_WEIGHT = 0.01;

    /** Bounds by how much more than its own time a request counts the time of others. */
    private static final double MAXIMUM_URGENCY = 20;

    private double usualHurry;
    private boolean isTaken;
    private long takenNanos;
    private double runs;
    private int withRun;
    private double works;
    private int withWork;
    private double requests;
    private double slots;

    /**
     * Returns whether the means are to be taken anew, and begins with that.
     *
     * @param now the monotonic time
     * @return whether each copy is to be added now
     */
    public boolean begin(long now) {
        if (isTaken && now - takenNanos < INTERVAL_NANOS) {
            return false;
        }
        isTaken = true;
        takenNanos = now;
        runs = 0;
        withRun = 0;
        works = 0;
        withWork = 0;
        requests = 0;
        slots = 0;
        return true;
    }

    /**
     * Adds a copy.
     *
     * @param copy the estimate of the copy
     * @param requestsThere the requests that are known to be there
     */
    public void add(CopyEstimate copy, double requestsThere) {
        if (copy.reportedRun() > 0) {
            runs += copy.reportedRun() / copy.slowness();
            withRun++;
        }
        if (copy.reportedWork() > 0) {
            works += copy.reportedWork();
            withWork++;
        }
        if (copy.isHeard()) {
            requests += Math.min(requestsThere, 2 * copy.limit());
            slots += copy.limit();
        }
    }

    /**
     * Passes the means on to a copy, after all were added.
     *
     * @param now the monotonic time
     * @param copy the estimate of the copy
     * @param way how far it is
     * @param speedCounts whether copies may differ in speed
     */
    public void passOn(long now, CopyEstimate copy, Way way, boolean speedCounts) {
        copy.follow(now, this, way, speedCounts);
    }

    /**
     * Returns the usual time of a run at a copy of usual speed.
     *
     * @return seconds; an assumed time while none is known
     */
    public double runSeconds() {
        return withRun == 0 ? UNKNOWN_RUN_SECONDS : runs / withRun;
    }

    /**
     * Returns what a second is worth to the usual request, as a multiple of what it is worth to this one. A request with
     * a short aim counts more.
     *
     * @param aimSeconds the aim of this request, 0 if it has none; it counts for those after it
     * @return the multiple
     */
    public double urgency(double aimSeconds) {
        if (aimSeconds > 0) {
            double hurry = 1 / aimSeconds;
            usualHurry += usualHurry == 0 ? hurry : HURRY_WEIGHT * (hurry - usualHurry);
        }
        return aimSeconds > 0 ? Math.min(MAXIMUM_URGENCY, usualHurry * aimSeconds) : 1;
    }

    double workSeconds() {
        return withWork == 0 ? 0 : works / withWork;
    }

    /** Returns the requests for a slot at the copies that were heard of. */
    double occupancy() {
        return slots == 0 ? 0 : requests / slots;
    }
}
