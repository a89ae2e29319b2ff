package org.carawaysill.policy.distribution;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Schedules the reads of one document at the platform.
 *
 * <p>Invariant: at most one read is open at a time. Not thread safe: one thread owns it.
 */
final class ReadSchedule {

    private static final long INITIAL_BACKOFF_NANOS = Duration.ofMillis(250).toNanos();

    /** A recovered platform is noticed within this time, and 3,500 nodes that retry stay below its rate limit. */
    private static final long MAX_BACKOFF_NANOS = Duration.ofSeconds(4).toNanos();

    /**
     * A read whose outcome never arrives, as when the adapter's connection was replaced meanwhile, would permanently
     * stop the watch of this document; so it counts as failed after this time beyond its maximum wait.
     */
    private static final long LOST_AFTER_NANOS = Duration.ofSeconds(10).toNanos();

    private final RandomGenerator random;
    private boolean reader;
    private boolean open;
    private long openedNanos;
    private long maximumWaitNanos;
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
     * Sets whether this node is a reader of the document. An open watch is not cancelled when it stops
     * being one, but no other follows.
     *
     * @param now nanoseconds on the monotonic clock
     * @param nowReader whether it is a reader from now on
     * @param spreadNanos the time over which the first reads of all new readers are spread
     */
    void setReader(long now, boolean nowReader, long spreadNanos) {
        if (nowReader && !reader) {
            dueNanos = Math.min(dueNanos, now + random.nextLong(spreadNanos + 1));
        } else if (!nowReader && reader) {
            dueNanos = Long.MAX_VALUE;
        }
        reader = nowReader;
    }

    /**
     * Makes this node a reader, with the given time of its first read.
     *
     * @param atNanos nanoseconds on the monotonic clock
     */
    void startReadingAt(long atNanos) {
        reader = true;
        dueNanos = atNanos;
    }

    /**
     * Schedules the next read at or before a time.
     *
     * @param atNanos nanoseconds on the monotonic clock
     */
    void scheduleBy(long atNanos) {
        dueNanos = Math.min(dueNanos, atNanos);
    }

    void postpone(long untilNanos) {
        dueNanos = untilNanos;
    }

    boolean due(long now) {
        return !open && now >= dueNanos;
    }

    void opened(long now, Duration maximumWait) {
        open = true;
        openedNanos = now;
        maximumWaitNanos = maximumWait.toNanos();
        dueNanos = Long.MAX_VALUE;
    }

    void expireLost(long now) {
        if (open && now >= openedNanos + maximumWaitNanos + LOST_AFTER_NANOS) {
            failed(now);
        }
    }

    /** Handles a newer document, valid or not: the next watch starts at once. */
    void newerReceived(long now) {
        failures = 0;
        close(now);
    }

    /**
     * Handles a read without a newer document. A watch that ends long before its maximum wait counts as a failure,
     * since it would cause a busy loop of reads.
     *
     * @param now nanoseconds on the monotonic clock
     */
    void nothingNewer(long now) {
        if (open && now - openedNanos < maximumWaitNanos / 2) {
            failed(now);
            return;
        }
        newerReceived(now);
    }

    void failed(long now) {
        failures++;
        long backoff = Math.min(MAX_BACKOFF_NANOS, INITIAL_BACKOFF_NANOS << Math.min(failures - 1, 8));
        close(now + backoff / 2 + random.nextLong(backoff / 2 + 1));
    }

    private void close(long nextNanos) {
        open = false;
        if (reader) {
            scheduleBy(nextNanos);
        }
    }

    long nextWakeNanos() {
        return open ? openedNanos + maximumWaitNanos + LOST_AFTER_NANOS : dueNanos;
    }
}
