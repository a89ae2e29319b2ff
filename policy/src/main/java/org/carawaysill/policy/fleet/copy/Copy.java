package org.carawaysill.policy.fleet.copy;

import java.time.Duration;
import java.util.Set;
import org.carawaysill.model.fleet.CopyRecord;
import org.carawaysill.model.fleet.Revision;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.policy.fleet.mechanism.Mechanism;
import org.carawaysill.policy.message.PeerMessage.LoadReport;

/**
 * One published copy, and what this node has seen of it.
 *
 * <p>Not thread safe: owned by the policy.
 */
public final class Copy {

    /** The weight of one more answer in the share of good answers: the last ten or so count. */
    private static final double ANSWER_WEIGHT = 0.1;

    /**
     * After so long without a request of this node it may have recovered, which only requests show. At eight seconds it serves
     * a hundredth less of what comes after it has.
     */
    private static final double FORGIVEN_AFTER_NANOS = Duration.ofSeconds(4).toNanos();

    /**
     * What its own node told with an answer is newer than what others heard of it, for so long: that takes three intervals
     * of 0.4 s to come here. Without it, a busy copy's load went back to what it was a second ago, at each summary.
     */
    private static final long KNOWN_BETTER_NANOS = Duration.ofMillis(800).toNanos();

    /** A cold copy works at about half its speed. */
    private static final double COLD_LOAD_FACTOR = 2;

    private static final long PRESENT = Long.MAX_VALUE;

    private final long firstSeenNanos;
    private final Revision firstRevision;
    private final NodeName node;
    private CopyRecord record;
    private long warmNanos;
    private long goneNanos = PRESENT;
    private boolean gone;
    private int outstanding;
    private int othersLoad;
    private LoadReport load;
    private long toldNanos;
    private double workSeconds;
    private double success = 1;
    private long answeredNanos;

    Copy(CopyRecord record, long now, Revision revision) {
        this.record = record;
        firstSeenNanos = now;
        toldNanos = now - KNOWN_BETTER_NANOS;
        firstRevision = revision;
        node = new NodeName(record.address().host());
        load = new LoadReport(0, record.slots(), 0, 0);
        warmNanos = now + record.warmUpLeft().toNanos();
    }

    /**
     * Returns what is published of it.
     *
     * @return the record
     */
    public CopyRecord record() {
        return record;
    }

    /**
     * Returns the node beside it.
     *
     * @return the node, named by its VM's IP number
     */
    public NodeName node() {
        return node;
    }

    /**
     * Returns whether this node has known it for some time.
     *
     * @param now the monotonic time
     * @param time how long
     * @return whether it has
     */
    public boolean isKnownFor(long now, Duration time) {
        return now - firstSeenNanos >= time.toNanos();
    }

    /** Receives a newer record; tells whether it says more than the last one. */
    boolean update(CopyRecord newer, long now) {
        boolean changed = newer.draining() != record.draining()
                || newer.slots() != record.slots()
                || !newer.address().equals(record.address())
                || !newer.service().equals(record.service());
        record = newer;
        warmNanos = now + newer.warmUpLeft().toNanos();
        return changed;
    }

    void missing(long fromNanos) {
        goneNanos = Math.min(goneNanos, fromNanos);
    }

    /** Notes that its entry is there; tells whether it was missing. */
    boolean keep() {
        boolean back = isMissing();
        goneNanos = PRESENT;
        return back;
    }

    boolean isMissing() {
        return goneNanos != PRESENT;
    }

    boolean isMissingAt(long now) {
        return goneNanos <= now;
    }

    void markGone() {
        gone = true;
    }

    /**
     * Returns whether it left or ended.
     *
     * @return whether it may get no work for good
     */
    public boolean isLeaving() {
        return gone || record.draining();
    }

    /**
     * Returns which of two copies at one address started later.
     *
     * <p>Guards against a dead copy that is taken for the living one, which shows as 421 to most requests for two seconds
     * after all nodes and copies lost power: a node that has just started sees the entries of both at the same moment, and
     * the dead one's lapses only seconds later. Its entry was written last before the new one's was written first; where the
     * platform came back from an older copy between the two, their own starts tell.
     */
    boolean isNewerThan(Copy other) {
        if (firstSeenNanos != other.firstSeenNanos) {
            return firstSeenNanos > other.firstSeenNanos;
        }
        return firstRevision.isSameEra(other.firstRevision)
                ? firstRevision.isAfter(other.firstRevision)
                : record.startedAtMillis() > other.record.startedAtMillis();
    }

    /** Notes that this node sent it a request. */
    public void sent() {
        outstanding++;
    }

    /**
     * Notes that a request of this node ended.
     *
     * @param now the monotonic time
     * @param good whether the copy did what it was asked
     */
    public void ended(long now, boolean good) {
        outstanding--;
        success = success(now) + ANSWER_WEIGHT * ((good ? 1 : 0) - success(now));
        answeredNanos = now;
    }

    /**
     * Returns which share of the requests of this node it lately did. Without requests, it is forgotten that they failed.
     *
     * @param now the monotonic time
     * @return 0 to 1
     */
    public double success(long now) {
        double age = Math.min(1, (now - answeredNanos) / FORGIVEN_AFTER_NANOS);
        return success + age * (1 - success);
    }

    /** Notes that a request of this node ended in a way that says nothing of the copy. */
    public void withdrawn() {
        outstanding--;
    }

    /**
     * Receives the load that its node told.
     *
     * @param now the monotonic time
     * @param newest the load
     */
    public void told(long now, LoadReport newest) {
        toldNanos = now;
        take(newest);
    }

    /**
     * Receives the load that others heard from its node, unless the node itself told it lately.
     *
     * @param now the monotonic time
     * @param heard the load
     */
    public void toldByOthers(long now, LoadReport heard) {
        if (now - toldNanos >= KNOWN_BETTER_NANOS) {
            take(heard);
        }
    }

    private void take(LoadReport newest) {
        othersLoad = Math.max(0, newest.inFlight() + newest.queued() - outstanding);
        load = newest;
    }

    /**
     * Receives how long it lately took for a request.
     *
     * @param seconds the mean, 0 where it is not known
     */
    public void works(double seconds) {
        workSeconds = seconds;
    }

    /**
     * Returns how long it lately took for a request.
     *
     * @return the mean in seconds, 0 where it is not known
     */
    public double workSeconds() {
        return workSeconds;
    }

    /**
     * Returns the load that its node told last.
     *
     * @return the load; all slots free before anything was told
     */
    public LoadReport load() {
        return load;
    }

    /**
     * Estimates how loaded it would be with one more request.
     *
     * @param now the monotonic time
     * @param without what is switched off
     * @return requests over limit; greater for a copy that is cold
     */
    public double expectedLoad(long now, Set<Mechanism> without) {
        double expected = (othersLoad + outstanding + 1) / (double) Math.max(1, load.limit());
        boolean cold = now < warmNanos && !without.contains(Mechanism.COLD_FACTOR);
        return cold ? expected * COLD_LOAD_FACTOR : expected;
    }
}
