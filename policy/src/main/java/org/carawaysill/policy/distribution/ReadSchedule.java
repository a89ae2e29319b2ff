package org.carawaysill.policy.distribution;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * When one document is read at the platform next.
 *
 * <p>Invariant: at most one read is open at a time. Not thread safe: one thread owns it.
 */
final class ReadSchedule {

    private static final long FIRST_BACKOFF_NANOS = Duration.ofMillis(250).toNanos();

    /** A platform that comes back is noticed within this time, and 3,500 nodes that retry stay below its rate. */
    private static final long LONGEST_BACKOFF_NANOS = Duration.ofSeconds(4).toNanos();

    /**
     * A read whose outcome never comes back, as when the adapter's connection was replaced under it, would end the
     * watching of this document for good; after this time beyond its patience it counts as failed.
     */
    private static final long LOST_AFTER_NANOS = Duration.ofSeconds(10).toNanos();

    private final RandomGenerator random;
    private boolean reader;
    private boolean open;
    private long openedNanos;
    private long patienceNanos;
    private long dueNanos = Long.MAX_VALUE;
    private int failures;

    ReadSchedule(RandomGenerator random) {
        this.random = random;
    }

    boolean reader() {
        return reader;
    }

    boolean open() {
        return open;
    }

    /**
     * Makes this node a reader of the document, or no longer one; an open watch then runs out.
     *
     * @param now nanoseconds on the monotonic clock
     * @param nowReader whether it is one from now on
     * @param spreadNanos over which the first reads of all new readers are spread
     */
    void role(long now, boolean nowReader, long spreadNanos) {
        if (nowReader && !reader) {
            dueNanos = Math.min(dueNanos, now + random.nextLong(spreadNanos + 1));
        } else if (!nowReader && reader) {
            dueNanos = Long.MAX_VALUE;
        }
        reader = nowReader;
    }

    /**
     * Makes this node a reader with a given time for the first read.
     *
     * @param atNanos nanoseconds on the monotonic clock
     */
    void readerFrom(long atNanos) {
        reader = true;
        dueNanos = atNanos;
    }

    /**
     * Asks for a read at or before a time.
     *
     * @param atNanos nanoseconds on the monotonic clock
     */
    void dueBy(long atNanos) {
        dueNanos = Math.min(dueNanos, atNanos);
    }

    void postpone(long untilNanos) {
        dueNanos = untilNanos;
    }

    boolean due(long now) {
        return !open && now >= dueNanos;
    }

    void opened(long now, Duration patience) {
        open = true;
        openedNanos = now;
        patienceNanos = patience.toNanos();
        dueNanos = Long.MAX_VALUE;
    }

    void expireLost(long now) {
        if (open && now >= openedNanos + patienceNanos + LOST_AFTER_NANOS) {
            failed(now);
        }
    }

    /** A newer document came, valid or not: the next watch starts at once. */
    void gotNewer(long now) {
        failures = 0;
        close(now);
    }

    /**
     * Nothing newer came. A watch that ends long before its patience would make a busy loop of reads, so it counts as a
     * failure.
     *
     * @param now nanoseconds on the monotonic clock
     */
    void gotNothing(long now) {
        if (open && now - openedNanos < patienceNanos / 2) {
            failed(now);
            return;
        }
        gotNewer(now);
    }

    void failed(long now) {
        failures++;
        long backoff = Math.min(LONGEST_BACKOFF_NANOS, FIRST_BACKOFF_NANOS << Math.min(failures - 1, 8));
        close(now + backoff / 2 + random.nextLong(backoff / 2 + 1));
    }

    private void close(long nextNanos) {
        open = false;
        if (reader) {
            dueBy(nextNanos);
        }
    }

    long nextWakeNanos() {
        return open ? openedNanos + patienceNanos + LOST_AFTER_NANOS : dueNanos;
    }
}
