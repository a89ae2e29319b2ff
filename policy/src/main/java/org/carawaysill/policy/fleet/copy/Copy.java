package org.carawaysill.policy.fleet.copy;

import java.time.Duration;
import java.util.OptionalDouble;
import java.util.Set;
import org.carawaysill.model.fleet.CopyRecord;
import org.carawaysill.model.fleet.Revision;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.policy.fleet.mechanism.Mechanism;
import org.carawaysill.policy.fleet.placing.CopyEstimate;
import org.carawaysill.policy.message.PeerMessage.LoadReport;

/**
 * A published copy, with what this node has observed of it.
 *
 * <p>Not thread safe: owned by the policy.
 */
public final class Copy {

    /**
     * For this long, a load that the copy's own node sent with an answer is newer than what other nodes received from
     * it, which takes three intervals of 0.4 s to arrive here. Without this, each summary reset a busy copy's load to
     * what it was a second ago.
     */
    private static final long DIRECT_LOAD_VALIDITY_NANOS =
            Duration.ofMillis(800).toNanos();

    private static final long NOT_MISSING = Long.MAX_VALUE;

    private final long firstSeenNanos;
    private final Revision firstRevision;
    private final NodeName node;
    private CopyRecord record;
    private final WarmUp warmUp;
    private final CopyEstimate estimate = new CopyEstimate();
    private long goneNanos = NOT_MISSING;
    private boolean gone;
    private final KnownLoad load;
    private long directLoadNanos;
    private double workSeconds;
    private final SuccessShare success = new SuccessShare();

    Copy(CopyRecord record, long now, Revision revision) {
        this.record = record;
        firstSeenNanos = now;
        directLoadNanos = now - DIRECT_LOAD_VALIDITY_NANOS;
        firstRevision = revision;
        node = new NodeName(record.address().host());
        load = new KnownLoad(record.slots());
        warmUp = new WarmUp(now, record.warmUpLeft());
        estimate.publish(record.slots());
    }

    /**
     * Returns the published record of the copy.
     *
     * @return the record
     */
    public CopyRecord record() {
        return record;
    }

    /**
     * Returns the node beside the copy.
     *
     * @return the node, named by the IP address of its VM
     */
    public NodeName node() {
        return node;
    }

    /**
     * Returns whether this node has known the copy for at least the given time.
     *
     * @param now the monotonic time
     * @param time the time
     * @return whether it has
     */
    public boolean isKnownFor(long now, Duration time) {
        return now - firstSeenNanos >= time.toNanos();
    }

    /** Takes in a newer record; returns whether it differs in more than the heartbeat. */
    boolean update(CopyRecord newer, long now) {
        boolean changed = newer.draining() != record.draining()
                || newer.slots() != record.slots()
                || !newer.address().equals(record.address())
                || !newer.service().equals(record.service());
        record = newer;
        warmUp.update(now, newer.warmUpLeft());
        return changed;
    }

    void markMissing(long fromNanos) {
        goneNanos = Math.min(goneNanos, fromNanos);
    }

    /** Notes that the copy's entry is published; returns whether it was missing. */
    boolean markPresent() {
        boolean reappeared = isMissing();
        goneNanos = NOT_MISSING;
        return reappeared;
    }

    boolean isMissing() {
        return goneNanos != NOT_MISSING;
    }

    boolean isMissingAt(long now) {
        return goneNanos <= now;
    }

    /**
     * Returns when the copy counts as gone because its entry is missing.
     *
     * @return the monotonic time, {@link Long#MAX_VALUE} if the entry is not missing
     */
    public long goneNanos() {
        return goneNanos;
    }

    void markGone() {
        gone = true;
    }

    /**
     * Returns whether the copy is draining or gone.
     *
     * @return whether it may never receive requests again
     */
    public boolean isLeaving() {
        return gone || record.draining();
    }

    /**
     * Returns whether this copy started later than another one at the same address.
     *
     * <p>Guards against preferring a dead copy to the running one after all nodes and copies lost power, which shows as
     * status 421 for most requests for two seconds: a node that has just started sees the entries of both at the same
     * moment, and the dead one's entry expires only seconds later. The last write of the dead one's entry precedes the
     * first write of the new one's, so the first revision decides; if the platform was restored from an older state in
     * between, the start times of the copies decide.
     */
    boolean isNewerThan(Copy other) {
        if (firstSeenNanos != other.firstSeenNanos) {
            return firstSeenNanos > other.firstSeenNanos;
        }
        return firstRevision.isSameEra(other.firstRevision)
                ? firstRevision.isAfter(other.firstRevision)
                : record.startedAtMillis() > other.record.startedAtMillis();
    }

    /** Notes that this node sent a request to the copy. */
    public void sent() {
        load.sent();
    }

    /**
     * Notes that a request of this node ended.
     *
     * @param now the monotonic time
     * @param good whether the copy fulfilled the request
     */
    public void ended(long now, boolean good) {
        load.ended();
        success.add(now, good);
    }

    /**
     * Returns the share of this node's recent requests that the copy fulfilled. Failures expire while this node sends
     * no requests.
     *
     * @param now the monotonic time
     * @return 0 to 1
     */
    public double success(long now) {
        return success.at(now);
    }

    /** Notes that a request of this node ended in a way that does not show whether the copy works. */
    public void withdrawn() {
        load.ended();
    }

    /**
     * Takes in the load that the copy's own node sent.
     *
     * @param now the monotonic time
     * @param newest the load
     */
    public void receiveLoad(long now, LoadReport newest) {
        directLoadNanos = now;
        load.update(newest);
        estimate.receive(now, newest, false);
    }

    /**
     * Takes in the load that other nodes received from the copy's node, unless that node sent its load directly a short
     * time ago.
     *
     * @param now the monotonic time
     * @param relayed the load
     */
    public void receiveRelayedLoad(long now, LoadReport relayed) {
        if (now - directLoadNanos >= DIRECT_LOAD_VALIDITY_NANOS) {
            load.update(relayed);
            estimate.receive(now, relayed, true);
        }
    }

    /**
     * Takes in the mean time that the copy recently took for a request.
     *
     * @param seconds the mean, 0 while unknown
     */
    public void receiveWorkSeconds(double seconds) {
        workSeconds = seconds;
        estimate.receiveWork(seconds);
    }

    /**
     * Returns the mean time that the copy recently took for a request.
     *
     * @return the mean in seconds, 0 while unknown
     */
    public double workSeconds() {
        return workSeconds;
    }

    /**
     * Returns the last known load of the copy.
     *
     * @return the load; all slots free before any was received
     */
    public LoadReport load() {
        return load.latest();
    }

    /**
     * Estimates the load of the copy with one more request.
     *
     * @param now the monotonic time
     * @param disabledMechanisms the mechanisms that are switched off
     * @return requests divided by the limit, in flight or per second, whichever is more; multiplied by a factor during
     *     the warm-up
     */
    public double expectedLoad(long now, Set<Mechanism> disabledMechanisms) {
        return expectedLoad(now, !disabledMechanisms.contains(Mechanism.COLD_FACTOR));
    }

    double expectedLoad(long now, boolean coldCounts) {
        double expected = load.withOneMore();
        return coldCounts && !warmUp.isOver(now) ? expected * WarmUp.COLD_FACTOR : expected;
    }

    /**
     * Returns by how much slower the copy works for being cold. The factor falls evenly until the end of the warm-up.
     *
     * @param now the monotonic time
     * @param coldCounts whether that counts at all
     * @return the factor, 1 for a warm copy
     */
    public double slowdown(long now, boolean coldCounts) {
        return coldCounts ? warmUp.slowdown(now) : 1;
    }

    /**
     * Returns the requests that are known to be at the copy: those of its latest load, and those of this node.
     *
     * @return the number
     */
    public double requestsThere() {
        return load.requests();
    }

    /**
     * Returns the estimate of the times at the copy.
     *
     * @return the estimate
     */
    public CopyEstimate estimate() {
        return estimate;
    }

    /** Returns whether the copy limits its requests per second. */
    boolean isPaced() {
        return load.latest().pace().isPresent();
    }

    /** Returns which part of the copy's own limit of requests per second is asked for; 0 if it names none. */
    double paceLoad() {
        return load.paceLoad();
    }

    /**
     * Returns the requests per second that the copy takes, as last heard from a node that knows it. A node that has just
     * started beside the copy doesn't, and learns it from this.
     *
     * @return the limit, empty if the copy names none
     */
    public OptionalDouble limitPerSecond() {
        return load.limitPerSecond();
    }
}
