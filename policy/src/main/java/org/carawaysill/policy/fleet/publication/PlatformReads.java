package org.carawaysill.policy.fleet.publication;

import java.time.Duration;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;
import org.carawaysill.model.fleet.Revision;
import org.carawaysill.policy.fleet.FleetEffect;
import org.carawaysill.policy.fleet.FleetEvent.ReadFailure;

/**
 * Schedules this node's reads of the platform and tracks whether they succeed.
 *
 * <p>Only the readers, which read on behalf of all nodes, and nodes without any state read; a node that receives
 * updates from others does not read to prove that it could. Invariants: at most one read at a time; the pause after a
 * failed read is never shorter than {@link #SHORTEST_PAUSE}. Not thread safe: owned by the policy.
 */
public final class PlatformReads {

    /**
     * Divisor of the time within which a leaving copy must be known everywhere; gives the pause between a reader's
     * reads and how long the platform may hold one. Copies write at each heartbeat, so reads are answered nearly at
     * once and the pause sets their number. With a fifth each, two readers can fail in sequence and the third is in
     * time.
     */
    private static final int PARTS_OF_DRAIN_LIMIT = 5;

    /** The pause of a failing node while others read: its reads only test whether it could take over again. */
    private static final Duration FAILING_PAUSE = Duration.ofSeconds(5);

    /**
     * The time over which nodes that start together spread their first reads. A node that has read connects to all
     * others in some 0.2 s; nodes that receive its state by then need not read, and a complete read takes two or more
     * of the calls that the platform counts. The first of many nodes still reads within some 10 ms, and a single new
     * node is sent the state as soon.
     */
    private static final Duration START_SPREAD = Duration.ofSeconds(1);

    /** How long a node that received state before its first read waits until it knows whether it is a reader. */
    private static final Duration STATE_RECEIVED_PAUSE = Duration.ofMillis(600);

    /** The pause after a failure; meanwhile other nodes read, see {@link #mayRead}. */
    static final Duration SHORTEST_PAUSE = Duration.ofMillis(200);

    /**
     * How long after the platform's return a missing entry may reappear: copies that could not send heartbeats
     * meanwhile write again within about two seconds.
     */
    private static final Duration RETURN_GRACE = Duration.ofMillis(2500);

    /**
     * How long an entry may reappear that was removed after the platform's return: its copy can write again, and does
     * so with its next heartbeat. If this were longer, a copy that left would receive requests beyond the drain limit.
     */
    private static final Duration LAPSE_GRACE = Duration.ofMillis(1200);

    /**
     * How long after a restore from an older state the entry of a copy that has left may be visible: it expires after
     * three heartbeats of silence, or is removed again.
     */
    private static final Duration RESTORED_ENTRY_LIMIT = Duration.ofSeconds(6);

    /** A reader's next read ends at most two read intervals after the last one, plus some time for the answer. */
    private static final int INTERVALS_WITHOUT_GAP = 3;

    private static final long NEVER = Long.MAX_VALUE;

    private final RandomGenerator random;
    private final Duration readInterval;
    private long nextNanos;
    private long sentNanos;
    private long lastNanos;
    private boolean assignedReader;
    private long handoverUntilNanos;
    private boolean reading;
    private boolean stateKnown;
    private boolean everything = true;
    private boolean lastWasIncremental;
    private boolean incremental = true;
    private boolean readable;
    private boolean failing;
    private long returnedNanos;
    private long othersFailedNanos;
    private long trustedNanos;
    private long completeReadNanos = NEVER;

    /**
     * Creates a schedule with a read that is due soon.
     *
     * @param now the monotonic time
     * @param drainLimit the time within which a leaving copy must be known everywhere
     * @param random the source of jitter
     */
    public PlatformReads(long now, Duration drainLimit, RandomGenerator random) {
        this.random = random;
        readInterval = drainLimit.dividedBy(PARTS_OF_DRAIN_LIMIT);
        nextNanos = now + random.nextLong(START_SPREAD.toNanos());
        sentNanos = now;
        lastNanos = now - readInterval.toNanos();
        handoverUntilNanos = now;
        returnedNanos = now - RETURN_GRACE.toNanos();
        othersFailedNanos = returnedNanos;
        eraBegan(now);
    }

    /**
     * Sets whether this node is a reader.
     *
     * @param now the monotonic time
     * @param isReader whether it is
     */
    public void setReader(long now, boolean isReader) {
        if (assignedReader == isReader) {
            return;
        }
        assignedReader = isReader;
        if (!readable && !failing && !stateKnown) {
            // The first read is due in any case.
            return;
        }
        if (assignedReader) {
            nextNanos = Math.min(nextNanos, Math.max(now, lastNanos + readInterval.toNanos()));
        } else if (failing) {
            nextNanos = now + failingPause();
        } else if (othersFailedWithin(now)) {
            handoverUntilNanos = now + RETURN_GRACE.toNanos();
        } else {
            nextNanos = NEVER;
        }
    }

    /**
     * Returns whether this node reads as a reader does.
     *
     * <p>Guards against a removal that all readers withhold, each having failed before it took over from one that had
     * not: that one continues until its successor no longer withholds removals.
     */
    private boolean readsAsReader(long now) {
        return assignedReader || now < handoverUntilNanos;
    }

    private boolean othersFailedWithin(long now) {
        return now - othersFailedNanos < RETURN_GRACE.toNanos();
    }

    /**
     * Notes that another node sent its state.
     *
     * @param now the monotonic time
     */
    public void stateReceived(long now) {
        if (!stateKnown && !readable && !failing) {
            nextNanos = now + STATE_RECEIVED_PAUSE.toNanos();
        }
        stateKnown = true;
    }

    /**
     * Makes the next read a complete one, due at once.
     *
     * @param now the monotonic time
     */
    public void scheduleCompleteRead(long now) {
        everything = true;
        nextNanos = now;
    }

    /**
     * Sets whether each read is complete, because the platform doesn't report whether changes are gapless.
     *
     * @param always whether each read is complete
     */
    public void setCompleteReads(boolean always) {
        incremental = !always;
    }

    /**
     * Notes that the platform was restored from an older state, as reported by itself or by another node.
     *
     * @param now the monotonic time
     */
    public void eraBegan(long now) {
        trustedNanos = now + RESTORED_ENTRY_LIMIT.toNanos();
    }

    /**
     * Schedules a complete read for when the platform's state is trusted, if it is not yet.
     *
     * @param now the monotonic time
     */
    public void scheduleCompleteReadOnceTrusted(long now) {
        if (now < trustedNanos) {
            completeReadNanos = trustedNanos;
        }
    }

    /**
     * Makes a scheduled complete read due when its time has come.
     *
     * @param now the monotonic time
     */
    public void passTime(long now) {
        if (now >= completeReadNanos) {
            completeReadNanos = NEVER;
            scheduleCompleteRead(now);
        }
    }

    /**
     * Returns whether the platform's state is current. It may not be soon after a restore from an older state, nor soon
     * after this node's start, which may coincide with one.
     *
     * @param now the monotonic time
     * @return whether it is
     */
    public boolean isStateTrusted(long now) {
        return now >= trustedNanos;
    }

    /**
     * Notes that another node recently failed to read.
     *
     * @param now the monotonic time
     */
    public void otherNodeFailed(long now) {
        othersFailedNanos = now;
    }

    private long failingPause() {
        long pause = FAILING_PAUSE.toNanos();
        return pause + random.nextLong(pause / 2);
    }

    /**
     * Returns when the next read is due.
     *
     * @return the monotonic time, {@link Long#MAX_VALUE} while a read is in progress
     */
    public long dueNanos() {
        return reading ? Long.MAX_VALUE : nextNanos;
    }

    /**
     * Starts a read.
     *
     * @param now the monotonic time
     * @param asOf the revision up to which everything is known
     * @return the read
     */
    public FleetEffect.ReadEntries start(long now, Revision asOf) {
        reading = true;
        sentNanos = now;
        return everything || !incremental || asOf.equals(Revision.NONE)
                ? new FleetEffect.ReadEntries(OptionalLong.empty(), Duration.ZERO)
                : new FleetEffect.ReadEntries(
                        OptionalLong.of(asOf.number()), readsAsReader(now) ? readInterval : Duration.ZERO);
    }

    /**
     * Notes that a read succeeded.
     *
     * @param now the monotonic time
     * @param otherEra whether the platform's revisions belong to another era than those of the last read
     * @return whether reads failed before, or this is the first one
     */
    public boolean succeeded(long now, boolean otherEra) {
        boolean recovered = !readable;
        if (otherEra) {
            eraBegan(now);
        }
        boolean returned = failing || otherEra || hadGap(now) && othersFailedWithin(now);
        if (returned) {
            returnedNanos = now;
        }
        lastWasIncremental = !returned && !everything;
        reading = false;
        readable = true;
        failing = false;
        everything = false;
        lastNanos = now;
        nextNanos = readsAsReader(now) ? now + readInterval.toNanos() : NEVER;
        return recovered;
    }

    /**
     * Returns whether this node did not read while others did, so that it may have missed an outage of the platform.
     *
     * <p>Guards against taking copies for gone that could not write during an outage: a node that takes over from
     * failed readers has not failed itself, finds most entries missing, and would reach no copy for two seconds.
     */
    private boolean hadGap(long now) {
        return everything || now - lastNanos > INTERVALS_WITHOUT_GAP * readInterval.toNanos();
    }

    /**
     * Notes that a read failed.
     *
     * @param now the monotonic time
     * @param failure the kind of failure
     * @return whether reads succeeded before, or this is the first one
     */
    public boolean failed(long now, ReadFailure failure) {
        reading = false;
        if (failure == ReadFailure.HISTORY_GONE || failure == ReadFailure.ERA_CHANGED) {
            everything = true;
            nextNanos = failure == ReadFailure.HISTORY_GONE ? now : now + SHORTEST_PAUSE.toNanos();
            return false;
        }
        boolean lost = !failing;
        readable = false;
        failing = true;
        long pause = SHORTEST_PAUSE.toNanos();
        nextNanos = now + (assignedReader || !stateKnown ? pause + random.nextLong(pause) : failingPause());
        return lost;
    }

    /**
     * Returns whether this node could be a reader: its last read, if any, did not fail.
     *
     * @return whether it could
     */
    public boolean mayRead() {
        return !failing;
    }

    /**
     * Returns for how long the current read has been in progress.
     *
     * @param now the monotonic time
     * @return nanoseconds, 0 if there is none
     */
    public long waitingNanos(long now) {
        return reading ? now - sentNanos : 0;
    }

    /**
     * Returns the time by which a copy should have rewritten an entry that the platform lost.
     *
     * @param now the monotonic time at which this node learns of the loss
     * @return the monotonic time
     */
    public long expectedUntilNanos(long now) {
        return now + RETURN_GRACE.toNanos();
    }

    /**
     * Returns the time until which an entry that the last answer lacks may reappear.
     *
     * <p>Guards against a copy that leaves right after all readers took over from failed ones, and receives requests
     * from nodes that wait for its entry as if it had expired during an outage of the platform.
     *
     * @param now the monotonic time
     * @return the monotonic time, not after {@code now} if a missing entry is gone
     */
    public long reappearanceDeadlineNanos(long now) {
        if (!readable) {
            return now + RETURN_GRACE.toNanos();
        }
        long afterReturn = returnedNanos + RETURN_GRACE.toNanos();
        return lastWasIncremental ? Math.min(afterReturn, now + LAPSE_GRACE.toNanos()) : afterReturn;
    }
}
