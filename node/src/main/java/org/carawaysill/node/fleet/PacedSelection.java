package org.carawaysill.node.fleet;

import io.netty.channel.SelectStrategy;
import io.netty.util.IntSupplier;
import java.time.Duration;
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;

/**
 * Lets a busy event loop wait a moment before it looks for input, so that one wake-up takes in what several would have.
 *
 * <p>A wake-up for each message costs more processor time than the message, since other processes have used the caches
 * meanwhile. With 14 nodes on one machine and 5,300 calls a second through two nodes each, this saves a quarter of the event
 * loops' processor time (68 and 50 s in ten seconds, with an interval of 1.5 ms), and costs 20 ms at the median of
 * requests of up to 13 calls (170 and 190 ms). A node that wakes up fewer than 500 times a second, and no more than
 * {@link #MOST_SAVED} times at once, never waits.
 *
 * <p>Invariants: no wait is longer than {@link #INTERVAL}, and none comes while tasks are due. Confined to its event loop.
 */
final class PacedSelection implements SelectStrategy {

    /** Wake-ups of a busy loop are so far apart: a tenth of the shortest time for which copies work on a request. */
    static final Duration INTERVAL = Duration.ofMillis(2);

    /** Wake-ups at once after a quiet time: a request on its way through an idle node needs four. */
    static final int MOST_SAVED = 4;

    private final LongSupplier nanoTime;
    private final LongConsumer wait;
    private long nextNanos;

    PacedSelection() {
        this(System::nanoTime, LockSupport::parkNanos);
    }

    PacedSelection(LongSupplier nanoTime, LongConsumer wait) {
        this.nanoTime = nanoTime;
        this.wait = wait;
        nextNanos = nanoTime.getAsLong();
    }

    @Override
    public int calculateStrategy(IntSupplier selectNow, boolean hasTasks) throws Exception {
        if (hasTasks) {
            return selectNow.get();
        }
        pace();
        return SelectStrategy.SELECT;
    }

    private void pace() {
        long interval = INTERVAL.toNanos();
        long now = nanoTime.getAsLong();
        long earliest = Math.max(nextNanos, now - MOST_SAVED * interval) + interval;
        // A wait may end early; the next one is not to make up for it.
        nextNanos = Math.min(earliest, now + interval);
        if (nextNanos > now) {
            wait.accept(nextNanos - now);
        }
    }
}
