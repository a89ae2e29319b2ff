package org.carawaysill.policy.fleet.copy;

import java.util.Comparator;
import java.util.Optional;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.request.Fingerprint;
import org.carawaysill.policy.fleet.entry.SlotTimes;
import org.carawaysill.policy.fleet.mechanism.Mechanism;
import org.carawaysill.policy.message.PeerMessage.CopyRequest;

/**
 * A request for the local copy, from its arrival until its answer.
 *
 * <p>Not thread safe: owned by the policy.
 */
public final class LocalRun {

    /**
     * What matters most first; of equals, what its caller asked for first.
     *
     * <p>A request that makes a dozen calls in a row passes this queue with each of them, and each wait counts against the one
     * time limit of the whole. In the order of arrival all chains wait alike, and where the queue stands, hardly any ends in
     * time; so the chains that are nearest to their end go first, and the wait is left to those that have just begun. On the
     * site of 95 nodes in virtual time, 0.77 in place of 0.69 of what is owed ends within its aim at 1.7 times the usual load
     * (lookups 0.30 in place of 0.05), and 0.89 in place of 0.86 at the usual one.
     */
    static final Comparator<LocalRun> OLDEST_FIRST =
            Comparator.<LocalRun>comparingInt(run -> run.request.rank()).thenComparingLong(run -> run.rootArrivedNanos);

    /** What it is without {@link Mechanism#OLDEST_FIRST}. */
    static final Comparator<LocalRun> DEEPEST_FIRST = Comparator.<LocalRun>comparingInt(run -> run.request.rank())
            .thenComparingInt(run -> -run.request.depth())
            .thenComparingLong(run -> run.deadlineNanos);

    private final CopyRequest request;
    private final Optional<NodeName> sender;
    private final long arrivedNanos;
    private final long deadlineNanos;
    private final long rootArrivedNanos;
    private final SlotTimes times = new SlotTimes();
    private long startedNanos;
    private int runningAtStart;
    private int openCalls;
    private long callsBeganNanos;
    private long callsNanos;
    private boolean running;
    private Optional<Fingerprint> suspected = Optional.empty();
    private boolean alone;

    /**
     * Makes a request that has just arrived.
     *
     * @param request the request
     * @param sender the node that sent it, empty for this one
     * @param now the monotonic time
     */
    public LocalRun(CopyRequest request, Optional<NodeName> sender, long now) {
        this.request = request;
        this.sender = sender;
        arrivedNanos = now;
        deadlineNanos = now + request.remainingNanos();
        rootArrivedNanos = now - request.rootAgeNanos();
    }

    /**
     * Returns the request.
     *
     * @return the request
     */
    public CopyRequest request() {
        return request;
    }

    /**
     * Returns who is to be answered.
     *
     * @return the node that sent it, empty for this one
     */
    public Optional<NodeName> sender() {
        return sender;
    }

    /**
     * Returns when the caller's request arrived behind which it is made.
     *
     * @return the monotonic time on this node, but for the time that messages were on their way
     */
    public long rootArrivedNanos() {
        return rootArrivedNanos;
    }

    /**
     * Returns when it arrived.
     *
     * @return the monotonic time
     */
    public long arrivedNanos() {
        return arrivedNanos;
    }

    /**
     * Returns until when its answer is of use.
     *
     * @return the monotonic time
     */
    public long deadlineNanos() {
        return deadlineNanos;
    }

    /**
     * Notes what is known of it: copies crashed while they ran it.
     *
     * @param fingerprint what it has in common with its other tries
     * @param mustRunAlone whether no other suspect may be at the copy with it
     */
    public void suspect(Fingerprint fingerprint, boolean mustRunAlone) {
        suspected = Optional.of(fingerprint);
        alone = mustRunAlone;
    }

    /** Notes that it is not suspected any more. */
    public void clear() {
        suspected = Optional.empty();
        alone = false;
    }

    /**
     * Returns whether it was known to be suspected before it was handed to the copy.
     *
     * @return its fingerprint, where it was
     */
    public Optional<Fingerprint> suspected() {
        return suspected;
    }

    boolean mustRunAlone() {
        return alone;
    }

    void start(long now, int withItself) {
        running = true;
        startedNanos = now;
        runningAtStart = withItself;
    }

    /** Returns how many requests were at the copy when this one was handed to it, itself included. */
    int runningAtStart() {
        return runningAtStart;
    }

    /**
     * Notes that the copy makes a call for it.
     *
     * @param now the monotonic time
     */
    public void callBegan(long now) {
        if (openCalls++ == 0) {
            callsBeganNanos = now;
        }
    }

    /**
     * Notes that a call that the copy made for it has ended.
     *
     * @param now the monotonic time
     */
    public void callEnded(long now) {
        if (--openCalls == 0) {
            callsNanos += now - callsBeganNanos;
        }
    }

    /** Returns the time at the copy in which no call was under way. */
    long ownNanos(long now) {
        long open = openCalls > 0 ? now - callsBeganNanos : 0;
        return Math.max(0, now - startedNanos - callsNanos - open);
    }

    /**
     * Returns whether it was handed to the copy.
     *
     * @return whether it has a slot
     */
    public boolean isRunning() {
        return running;
    }

    /**
     * Returns the slots' time that the calls of this request took so far.
     *
     * @return the times, to be added to
     */
    public SlotTimes times() {
        return times;
    }

    /**
     * Returns when it was handed to the copy.
     *
     * @return the monotonic time, 0 while it waits
     */
    public long startedNanos() {
        return startedNanos;
    }
}
