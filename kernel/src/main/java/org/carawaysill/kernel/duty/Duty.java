package org.carawaysill.kernel.duty;

import java.lang.invoke.VarHandle;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.carawaysill.kernel.ring.BoundedRing;
import org.carawaysill.kernel.ring.Offer;

/**
 * A named thread with one job: it takes items from its ring, parks while there are none, and wakes at a given time.
 *
 * <p>Invariants: only this thread runs the work; an item that the ring accepted before {@link #stop()} is handled. Any
 * thread may offer. A duty starts once and stops once.
 *
 * @param <T> the type of the items
 */
public final class Duty<T> {

    /**
     * The shortest time between two wake-ups. Guards against work that keeps asking for a wake-up in the past, which
     * would show as a core at full load: the duty still wakes only a thousand times a second then.
     */
    private static final long SHORTEST_WAKE_SPACING_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

    private final BoundedRing<T> ring;

    private final DutyWork<T> work;

    private final long spinNanos;

    private final Thread thread;

    private final CompletableFuture<Void> stopped = new CompletableFuture<>();

    private volatile boolean parked;

    private volatile boolean stopping;

    private long earliestWakeNanos;

    /**
     * Makes a duty that does not run yet.
     *
     * @param name the name of its thread
     * @param ring the ring from which only this duty polls
     * @param work what to do
     * @param spin how long to look for a next item before parking; the processor time of one wake-up grows by this
     */
    public Duty(String name, BoundedRing<T> ring, DutyWork<T> work, Duration spin) {
        this.ring = ring;
        this.work = work;
        this.spinNanos = spin.toNanos();
        this.thread = Thread.ofPlatform().name(name).unstarted(this::run);
    }

    /** Starts the thread. */
    public void start() {
        earliestWakeNanos = System.nanoTime();
        thread.start();
    }

    /**
     * Asks the thread to end once its ring is empty.
     *
     * @return completes when the thread has done its last item; fails with what the work threw
     */
    public CompletableFuture<Void> stop() {
        stopping = true;
        LockSupport.unpark(thread);
        return stopped;
    }

    /**
     * Offers an item and wakes the thread if it is parked.
     *
     * @param item the item
     * @return whether the ring took it
     */
    public Offer offer(T item) {
        return wakeAfter(ring.offer(item));
    }

    /**
     * Offers an item unless the ring already holds a number of items, and wakes the thread if it is parked.
     *
     * @param item the item
     * @param limit how many items the ring may hold at most after this offer
     * @return whether the ring took it
     */
    public Offer offerBelow(T item, int limit) {
        return wakeAfter(ring.offerBelow(item, limit));
    }

    private Offer wakeAfter(Offer offer) {
        // Guards against a lost wake-up, which shows as an item that waits until the next one comes. The fence orders
        // the write of the item before the read of the flag; park() orders the flag before its last look at the ring.
        // So either this thread sees the flag, or the duty sees the item.
        VarHandle.fullFence();
        if (parked) {
            LockSupport.unpark(thread);
        }
        return offer;
    }

    private void run() {
        try {
            while (!(stopping && ring.isEmpty())) {
                step();
            }
            stopped.complete(null);
        } catch (RuntimeException | Error failure) {
            stopped.completeExceptionally(failure);
        }
    }

    private void step() {
        Optional<T> item = ring.poll();
        item.ifPresent(work::handle);
        boolean woken = wakeUpIfDue();
        if (item.isEmpty() && !woken && !spin()) {
            park();
        }
    }

    private boolean wakeUpIfDue() {
        if (nanosUntilWake() > 0) {
            return false;
        }
        work.wakeUp();
        earliestWakeNanos = System.nanoTime() + SHORTEST_WAKE_SPACING_NANOS;
        return true;
    }

    private long nanosUntilWake() {
        long due = work.nextWakeNanos();
        if (due == Long.MAX_VALUE) {
            return Long.MAX_VALUE;
        }
        long now = System.nanoTime();
        return Math.max(due - now, earliestWakeNanos - now);
    }

    private boolean spin() {
        long start = System.nanoTime();
        while (System.nanoTime() - start < spinNanos) {
            if (!ring.isEmpty()) {
                return true;
            }
            Thread.onSpinWait();
        }
        return false;
    }

    private void park() {
        parked = true;
        VarHandle.fullFence();
        if (ring.isEmpty() && !stopping) {
            parkUntilWake();
        }
        parked = false;
    }

    private void parkUntilWake() {
        long remaining = nanosUntilWake();
        if (remaining == Long.MAX_VALUE) {
            LockSupport.park(this);
        } else if (remaining > 0) {
            LockSupport.parkNanos(this, remaining);
        }
    }
}
