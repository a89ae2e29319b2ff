package org.carawaysill.policy.fleet.publication;

import java.time.Duration;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;
import org.carawaysill.policy.fleet.FleetEffect;
import org.carawaysill.policy.fleet.FleetEvent.ReadFailure;

/**
 * When this node reads at the platform, and whether it can.
 *
 * <p>Invariants: at most one read at a time; the pause after a failed read is never shorter than {@link #SHORTEST_PAUSE}. Not
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

    /**
     * The pause of a node that others read for, as long as it hears from them: it only shows that it could take over. One
     * read takes 4 ms of the platform; at 3,500 nodes this makes 700 reads a second of 2,000.
     */
    private static final Duration IDLE_PAUSE = Duration.ofSeconds(5);

    /** The pause after a failure; other nodes are asked meanwhile, see {@link #readable}. */
    static final Duration SHORTEST_PAUSE = Duration.ofMillis(200);

    /**
     * How long after the platform's return an entry that is missing may be back: copies that could not send heartbeats
     * meanwhile write again within about two seconds.
     */
    private static final Duration RETURN_GRACE = Duration.ofMillis(2500);

    private final RandomGenerator random;
    private Duration pace;
    private long nextNanos;
    private long sentNanos;
    private long lastNanos;
    private boolean reader = true;
    private boolean reading;
    private boolean everything = true;
    private boolean readable;
    private boolean failedBefore;
    private long returnedNanos;

    /**
     * Starts with a read that is due at once.
     *
     * @param now the monotonic time
     * @param drainLimit within which a leaving copy must be known everywhere
     * @param random the source of jitter
     */
    public PlatformReads(long now, Duration drainLimit, RandomGenerator random) {
        this.random = random;
        pace = drainLimit.dividedBy(PARTS_OF_DRAIN_LIMIT);
        nextNanos = now;
        sentNanos = now;
        returnedNanos = now - RETURN_GRACE.toNanos();
    }

    /**
     * Tells whether this node reads for others too.
     *
     * @param now the monotonic time
     * @param forOthers whether it does
     */
    public void reader(long now, boolean forOthers) {
        if (reader != forOthers) {
            reader = forOthers;
            if (readable) {
                nextNanos = Math.max(now, lastNanos + pause());
            }
        }
    }

    private long pause() {
        long pause = reader ? pace.toNanos() : IDLE_PAUSE.toNanos();
        return reader ? pause : pause + random.nextLong(pause / 2);
    }

    /**
     * Tells when the next read is due.
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
    public FleetEffect.ReadEntries start(long now, long asOf) {
        reading = true;
        sentNanos = now;
        return everything || asOf == 0
                ? new FleetEffect.ReadEntries(OptionalLong.empty(), Duration.ZERO)
                : new FleetEffect.ReadEntries(OptionalLong.of(asOf), reader ? pace : Duration.ZERO);
    }

    /**
     * Notes that a read succeeded.
     *
     * @param now the monotonic time
     * @return whether reads failed before
     */
    public boolean succeeded(long now) {
        boolean back = !readable;
        if (back && failedBefore) {
            returnedNanos = now;
        }
        reading = false;
        readable = true;
        everything = false;
        lastNanos = now;
        nextNanos = now + pause();
        return back;
    }

    /**
     * Notes that a read failed.
     *
     * @param now the monotonic time
     * @param failure how
     * @return whether reads succeeded before
     */
    public boolean failed(long now, ReadFailure failure) {
        reading = false;
        if (failure == ReadFailure.HISTORY_GONE) {
            everything = true;
            nextNanos = now;
            return false;
        }
        boolean lost = readable;
        readable = false;
        failedBefore = true;
        long pause = SHORTEST_PAUSE.toNanos();
        nextNanos = now + pause + random.nextLong(pause);
        return lost;
    }

    /**
     * Tells whether the last read succeeded.
     *
     * @return whether the platform can be read
     */
    public boolean readable() {
        return readable;
    }

    /**
     * Tells for how long the present read has been under way.
     *
     * @param now the monotonic time
     * @return nanoseconds, 0 where there is none
     */
    public long waitingNanos(long now) {
        return reading ? now - sentNanos : 0;
    }

    /**
     * Tells until when an entry that turned out to be missing may be back.
     *
     * @param now the monotonic time
     * @return the monotonic time, not after {@code now} where a missing entry is gone
     */
    public long returnsUntilNanos(long now) {
        return readable ? returnedNanos + RETURN_GRACE.toNanos() : now + RETURN_GRACE.toNanos();
    }
}
