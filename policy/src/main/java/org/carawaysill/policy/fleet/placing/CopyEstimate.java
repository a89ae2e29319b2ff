package org.carawaysill.policy.fleet.placing;

import java.time.Duration;
import org.carawaysill.policy.message.PeerMessage.LoadReport;
import org.carawaysill.policy.time.Nanos;

/**
 * What this node estimates of the times at a copy. Terms that only reports change are computed when one has arrived.
 *
 * <p>Invariant: all times are finite and not negative, whatever was reported. Not thread safe: owned by the policy.
 */
public final class CopyEstimate {

    /** No time of a run is taken for longer. */
    static final double MAXIMUM_SECONDS = 600;

    /** No more requests than this are believed to be anywhere. */
    private static final double MAXIMUM_REQUESTS = 1e6;

    /** The age of a load that other nodes relayed, when it arrives. */
    private static final double RELAY_NANOS = Duration.ofMillis(800).toNanos();

    /** The wait at a copy that is asked for twice the requests per second that it takes. */
    private static final double PACED_WAIT_SECONDS = 0.5;

    /** A copy that takes this multiple of the usual time is called slow, one that takes the inverse fast. */
    private static final double SLOW = 1.5;

    /** Below this multiple, and above its inverse, a copy counts as usual again. */
    private static final double USUAL = 1.25;

    /** How much more likely a copy in this zone is to be considered than one in another. */
    private static final double NEAR_WEIGHT = 2;

    private final CopySpeed speed = new CopySpeed();
    private int pace;
    private double limit = 1;
    private double reportedRun;
    private double reportedWork;
    private boolean isHeard;
    private double loadNanos;
    private double assumedRequests;
    private double runSeconds;
    private double secondsForEach;
    private double spread = 1;
    private Way way = Way.OTHER_ZONE;

    /**
     * Takes in the number of slots that is published.
     *
     * @param slots the slots
     */
    public void publish(int slots) {
        if (!isHeard) {
            limit = Math.max(1, slots);
        }
    }

    /**
     * Takes in a load.
     *
     * @param now the monotonic time
     * @param load the load
     * @param relayed whether other nodes relayed it
     */
    public void receive(long now, LoadReport load, boolean relayed) {
        isHeard = true;
        assumedRequests = 0;
        loadNanos = relayed ? now - RELAY_NANOS : now;
        limit = Math.max(1, load.limit());
        reportedRun = sound(load.runSeconds());
        update(now);
    }

    /**
     * Takes in the mean time of the copy's own work.
     *
     * @param seconds the mean, 0 while unknown
     */
    public void receiveWork(double seconds) {
        reportedWork = sound(seconds);
    }

    /**
     * Takes in the slot time of a run there.
     *
     * @param now the monotonic time
     * @param multiple the time as a multiple of the usual one of its route
     */
    public void measure(long now, double multiple) {
        if (Double.isFinite(multiple) && multiple > 0) {
            speed.measure(now, multiple);
        }
    }

    private static double sound(double seconds) {
        return seconds > 0 ? Math.min(seconds, MAXIMUM_SECONDS) : 0;
    }

    /** Follows the means of the service, and the way to the copy. */
    void follow(long now, ServiceMeans means, Way newest, boolean speedCounts) {
        way = newest;
        double usualWork = means.workSeconds();
        if (speedCounts) {
            speed.report(now, reportedWork == 0 || usualWork == 0 ? 0 : reportedWork / usualWork);
        }
        double expected = means.runSeconds() * speed.slowness();
        runSeconds = reportedRun == 0 ? expected : (reportedRun + expected) / 2;
        if (!isHeard) {
            assumedRequests = means.occupancy() * limit;
        }
        update(now);
    }

    private void update(long now) {
        secondsForEach = runSeconds / limit;
        double ageSeconds = Math.max(0, now - loadNanos) / Nanos.PER_SECOND;
        double changed = secondsForEach > 0 ? Math.min(limit, ageSeconds / secondsForEach) : limit;
        spread = 1 + Math.sqrt(changed);
    }

    /**
     * Returns whether the copy has become much slower or faster than the usual one since the last time, or no longer is.
     *
     * @return whether that has changed
     */
    public boolean hasChangedPace() {
        int newest = pace;
        if (slowness() > SLOW) {
            newest = 1;
        } else if (slowness() < 1 / SLOW) {
            newest = -1;
        } else if (slowness() < USUAL && slowness() > 1 / USUAL) {
            newest = 0;
        }
        boolean changed = newest != pace;
        pace = newest;
        return changed;
    }

    double limit() {
        return limit;
    }

    boolean isHeard() {
        return isHeard;
    }

    double reportedRun() {
        return reportedRun;
    }

    double reportedWork() {
        return reportedWork;
    }

    /**
     * Returns how slow the copy is.
     *
     * @return a multiple of the usual time
     */
    public double slowness() {
        return speed.slowness();
    }

    /**
     * Returns how many requests are expected to wait there. Near the limit the number rises by degrees, since the load
     * is some time old.
     *
     * @param requests the requests that are known to be there
     * @return the number
     */
    double waiting(double requests) {
        double beyond = Math.min(MAXIMUM_REQUESTS, requests + assumedRequests) + 1 - limit;
        double reach = 2 * spread;
        if (beyond >= reach) {
            return beyond;
        }
        return beyond > -reach ? (beyond + reach) * (beyond + reach) / (4 * reach) : 0;
    }

    /**
     * Returns the expected wait for a slot.
     *
     * @param waiting the requests that are expected to wait there
     * @param paceLoad the part of the copy's own limit of requests per second that is asked for
     * @return seconds
     */
    double waitSeconds(double waiting, double paceLoad) {
        double wait = waiting * secondsForEach;
        return paceLoad > 1 ? Math.max(wait, Math.min(MAXIMUM_SECONDS, (paceLoad - 1) * PACED_WAIT_SECONDS)) : wait;
    }

    /**
     * Returns how likely the copy is to be considered: by what it can do, and more so if it is near.
     *
     * @return a weight of more than 0
     */
    public double weight() {
        double rate = limit / slowness();
        return isInOtherZone() ? rate : NEAR_WEIGHT * rate;
    }

    double waySeconds() {
        return way.seconds();
    }

    boolean isInOtherZone() {
        return way == Way.OTHER_ZONE;
    }
}
