package org.carawaysill.kernel.duty;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.carawaysill.kernel.ring.BoundedRing;

/**
 * A named thread with one job: it takes items from its ring, parks while there are none, and wakes at a given time.
 *
 * <p>Invariants: only this thread runs the work; an item that the ring accepted before {@link #stop()} is handled. A
 * duty starts once and stops once. Thread safe.
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

    private final Thread thread;

    private final CompletableFuture<Void> stopped = new CompletableFuture<>();

    private volatile boolean stopping;

    private long earliestWakeNanos;

    /**
     * Makes a duty that does not run yet.
     *
     * @param name the name of its thread
     * @param ring the ring from which only this duty polls
     * @param work what to do
     */
    public Duty(String name, BoundedRing<T> ring, DutyWork<T> work) {
        this.ring = ring;
        this.work = work;
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
     * Tells of the end of the thread, whether it was asked to end or not.
     *
     * @return completes when the thread has done its last item; fails with what the work threw
     */
    public CompletableFuture<Void> ended() {
        return stopped.copy();
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
        if (item.isEmpty() && !woken && !stopping) {
            ring.await(nanosUntilWake());
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
}
