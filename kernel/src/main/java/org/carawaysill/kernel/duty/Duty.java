package org.carawaysill.kernel.duty;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.carawaysill.kernel.ring.BoundedRing;

/**
 * A named thread with one task: it handles the items of its ring, parks while there are none, and wakes up when its
 * work is due.
 *
 * <p>Invariants: only this thread runs the work; an item that the ring accepted before {@link #stop()} is handled. A
 * duty starts once and stops once. Thread safe.
 *
 * @param <T> the type of the items
 */
public final class Duty<T> {

    /**
     * The shortest time between two wake-ups. Guards against work that keeps requesting a wake-up in the past, which
     * would keep a core at full load: the duty then still wakes up at most a thousand times a second.
     */
    private static final long SHORTEST_WAKE_SPACING_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

    private final BoundedRing<T> ring;

    private final DutyWork<T> work;

    private final Thread thread;

    private final CompletableFuture<Void> stopped = new CompletableFuture<>();

    private volatile boolean stopping;

    private long earliestWakeNanos;

    /**
     * Creates a duty that is not started.
     *
     * @param name the name of its thread
     * @param ring the ring from which only this duty polls
     * @param work the work to do
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
     * Requests that the thread end once its ring is empty.
     *
     * @return completes when the thread has handled its last item; fails with the exception that the work threw
     */
    public CompletableFuture<Void> stop() {
        stopping = true;
        LockSupport.unpark(thread);
        return stopped;
    }

    /**
     * Returns a future of the end of the thread, whether its end was requested or not.
     *
     * @return completes when the thread has handled its last item; fails with the exception that the work threw
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
