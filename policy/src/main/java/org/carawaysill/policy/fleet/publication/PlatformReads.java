package org.carawaysill.policy.fleet.publication;

import java.time.Duration;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;
import org.carawaysill.model.fleet.Revision;
import org.carawaysill.policy.fleet.FleetEffect;
import org.carawaysill.policy.fleet.FleetEvent.ReadFailure;

/**
 * When this node reads at the platform, and whether it can.
 *
 * <p>Only the nodes that read for all do, and those that know nothing: who is told by others does not read to show that it
 * could. Invariants: at most one read at a time; the pause after a failed read is never shorter than {@link #SHORTEST_PAUSE}. Not
 * thread safe: owned by the policy.
 */
public final class PlatformReads {

    /**
     * The part of the time within which a leaving copy must be known everywhere that passes between two reads of a reader,
     * and that the platform may hold a read. Copies write at each heartbeat, so that a read is nearly always answered at
     * once and the pause sets the number of reads. With a fifth each, two readers can fail one after the other and the
     * third is still in time.
     */
    private static final int PARTS_OF_DRAIN_LIMIT = 5;

    /** The pause of a node whose reads fail while others read: it only shows that it could take over again. */
    private static final Duration FAILING_PAUSE = Duration.ofSeconds(5);

    /**
     * The time over which nodes that start together spread their first reads. Whoever has read connects to all others, which
     * takes some 0.2 s; who is told by then need not read, and a complete read takes two calls or more, which the platform
     * counts. The first of many nodes comes to its read within some 10 ms all the same, and a node that starts alone is told by
     * the others as soon.
     */
    private static final Duration START_SPREAD = Duration.ofSeconds(1);

    /** How long a node that was told before its first read waits until it knows whether it is to read for others. */
    private static final Duration TOLD_PAUSE = Duration.ofMillis(600);

    /** The pause after a failure; meanwhile others that can read do, see {@link #mayRead}. */
    static final Duration SHORTEST_PAUSE = Duration.ofMillis(200);

    /**
     * How long after the platform's return an entry that is missing may be back: copies that could not send heartbeats
     * meanwhile write again within about two seconds.
     */
    private static final Duration RETURN_GRACE = Duration.ofMillis(2500);

    /**
     * How long an entry may be back that was there after the platform's return and was removed since: its copy can write
     * again, and does so with its next heartbeat. With more, a copy that left would get work beyond the drain limit.
     */
    private static final Duration LAPSE_GRACE = Duration.ofMillis(1200);

    /**
     * How long after the platform's return from an older copy an entry may still be there whose copy has left: it lapses after
     * three heartbeats of silence, or is removed again.
     */
    private static final Duration SHOWN_AGAIN_LIMIT = Duration.ofSeconds(6);

    /** A reader's next read ends at most two paces after the last one, and some time for the answer. */
    private static final int PACES_WITHOUT_GAP = 3;

    private static final long NEVER = Long.MAX_VALUE;

    private final RandomGenerator random;
    private final Duration pace;
    private long nextNanos;
    private long sentNanos;
    private long lastNanos;
    private boolean reader;
    private long handoverUntilNanos;
    private boolean reading;
    private boolean told;
    private boolean everything = true;
    private boolean lastWasContinued;
    private boolean continuous = true;
    private boolean readable;
    private boolean failing;
    private long returnedNanos;
    private long othersFailedNanos;
    private long trustedNanos;
    private long everythingNanos = NEVER;

    /**
     * Starts with a read that is due soon.
     *
     * @param now the monotonic time
     * @param drainLimit within which a leaving copy must be known everywhere
     * @param random the source of jitter
     */
    public PlatformReads(long now, Duration drainLimit, RandomGenerator random) {
        this.random = random;
        pace = drainLimit.dividedBy(PARTS_OF_DRAIN_LIMIT);
        nextNanos = now + random.nextLong(START_SPREAD.toNanos());
        sentNanos = now;
        lastNanos = now - pace.toNanos();
        handoverUntilNanos = now;
        returnedNanos = now - RETURN_GRACE.toNanos();
        othersFailedNanos = returnedNanos;
        eraBegan(now);
    }

    /**
     * Sets whether this node reads for others too.
     *
     * @param now the monotonic time
     * @param forOthers whether it does
     */
    public void reader(long now, boolean forOthers) {
        if (reader == forOthers) {
            return;
        }
        reader = forOthers;
        if (!readable && !failing && !told) {
            // The first read is due in any case.
            return;
        }
        if (reader) {
            nextNanos = Math.min(nextNanos, Math.max(now, lastNanos + pace.toNanos()));
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
     * <p>Guards against a removal that all readers hold back, since each of them failed before it took over from one that did
     * not: that one goes on until its successor no longer does.
     */
    private boolean readsOn(long now) {
        return reader || now < handoverUntilNanos;
    }

    private boolean othersFailedWithin(long now) {
        return now - othersFailedNanos < RETURN_GRACE.toNanos();
    }

    /**
     * Notes that another node told what it knows.
     *
     * @param now the monotonic time
     */
    public void told(long now) {
        if (!told && !readable && !failing) {
            nextNanos = now + TOLD_PAUSE.toNanos();
        }
        told = true;
    }

    /**
     * Lets the next read be one of everything, at once.
     *
     * @param now the monotonic time
     */
    public void everythingAt(long now) {
        everything = true;
        nextNanos = now;
    }

    /**
     * Sets whether each read is one of everything, since the platform does not tell whether changes continue the last read.
     *
     * @param always whether it is
     */
    public void everythingEachTime(boolean always) {
        continuous = !always;
    }

    /**
     * Notes that the platform came back from an older copy, by its own word or that of another node.
     *
     * @param now the monotonic time
     */
    public void eraBegan(long now) {
        trustedNanos = now + SHOWN_AGAIN_LIMIT.toNanos();
    }

    /**
     * Reads everything once the platform is trusted to show what holds, if it is not yet.
     *
     * @param now the monotonic time
     */
    public void everythingOnceTrusted(long now) {
        if (now < trustedNanos) {
            everythingNanos = trustedNanos;
        }
    }

    /**
     * Starts what is due by the time alone.
     *
     * @param now the monotonic time
     */
    public void passTime(long now) {
        if (now >= everythingNanos) {
            everythingNanos = NEVER;
            everythingAt(now);
        }
    }

    /**
     * Returns whether the platform shows what holds: not soon after it came back from an older copy, nor soon after this node
     * started, which may be then.
     *
     * @param now the monotonic time
     * @return whether it does
     */
    public boolean trustsWhatIsShown(long now) {
        return now >= trustedNanos;
    }

    /**
     * Notes that another node lately failed to read.
     *
     * @param now the monotonic time
     */
    public void othersFail(long now) {
        othersFailedNanos = now;
    }

    private long failingPause() {
        long pause = FAILING_PAUSE.toNanos();
        return pause + random.nextLong(pause / 2);
    }

    /**
     * Returns when the next read is due.
     *
     * @return the monotonic time, {@link Long#MAX_VALUE} while a read is under way
     */
    public long dueNanos() {
        return reading ? Long.MAX_VALUE : nextNanos;
    }

    /**
     * Starts a read.
     *
     * @param now the monotonic time
     * @param asOf up to which revision everything is known
     * @return the read
     */
    public FleetEffect.ReadEntries start(long now, Revision asOf) {
        reading = true;
        sentNanos = now;
        return everything || !continuous || asOf.equals(Revision.NONE)
                ? new FleetEffect.ReadEntries(OptionalLong.empty(), Duration.ZERO)
                : new FleetEffect.ReadEntries(OptionalLong.of(asOf.number()), readsOn(now) ? pace : Duration.ZERO);
    }

    /**
     * Notes that a read succeeded.
     *
     * @param now the monotonic time
     * @param otherEra whether the platform's revisions belong to another era than those of the read before
     * @return whether reads failed before, or this is the first one
     */
    public boolean succeeded(long now, boolean otherEra) {
        boolean back = !readable;
        if (otherEra) {
            eraBegan(now);
        }
        boolean returned = failing || otherEra || hadGap(now) && othersFailedWithin(now);
        if (returned) {
            returnedNanos = now;
        }
        lastWasContinued = !returned && !everything;
        reading = false;
        readable = true;
        failing = false;
        everything = false;
        lastNanos = now;
        nextNanos = readsOn(now) ? now + pace.toNanos() : NEVER;
        return back;
    }

    /**
     * Returns whether others read meanwhile, so that the platform may have been away without a sign here.
     *
     * <p>Guards against copies that are taken for gone since they could not write while the platform was away, which shows as
     * no copy in reach for two seconds after its return: the node that takes over from the readers that failed has not
     * failed itself, and finds most entries missing.
     */
    private boolean hadGap(long now) {
        return everything || now - lastNanos > PACES_WITHOUT_GAP * pace.toNanos();
    }

    /**
     * Notes that a read failed.
     *
     * @param now the monotonic time
     * @param failure how
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
        nextNanos = now + (reader || !told ? pause + random.nextLong(pause) : failingPause());
        return lost;
    }

    /**
     * Returns whether this node could read for others: its last read, if there was one, did not fail.
     *
     * @return whether it could
     */
    public boolean mayRead() {
        return !failing;
    }

    /**
     * Returns for how long the present read has been under way.
     *
     * @param now the monotonic time
     * @return nanoseconds, 0 where there is none
     */
    public long waitingNanos(long now) {
        return reading ? now - sentNanos : 0;
    }

    /**
     * Returns until when a copy is to write an entry again that the platform has lost.
     *
     * @param now the monotonic time at which this node hears of the entry
     * @return the monotonic time
     */
    public long expectedUntilNanos(long now) {
        return now + RETURN_GRACE.toNanos();
    }

    /**
     * Returns until when an entry that turned out to be missing in the last answer may be back.
     *
     * <p>Guards against a copy that leaves right after all readers took over from others that failed, and gets work from nodes
     * that wait for its entry as if it had lapsed while the platform was away.
     *
     * @param now the monotonic time
     * @return the monotonic time, not after {@code now} where a missing entry is gone
     */
    public long returnsUntilNanos(long now) {
        if (!readable) {
            return now + RETURN_GRACE.toNanos();
        }
        long afterReturn = returnedNanos + RETURN_GRACE.toNanos();
        return lastWasContinued ? Math.min(afterReturn, now + LAPSE_GRACE.toNanos()) : afterReturn;
    }
}
