package org.carawaysill.protocol.link;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.jctools.queues.MessagePassingQueue;
import org.jctools.queues.atomic.MpscAtomicArrayQueue;

/**
 * The bounded ring from the sending threads to the event loop.
 *
 * <p>Messages that are offered while the event loop is busy are written in one batch and flushed once per connection.
 * Invariants: each offered message is written or reported as unsent exactly once; the messages of one sender keep their
 * order. Any thread may offer; only one thread at a time drains: the event loop, and after it has ended, the thread
 * that holds the lock.
 */
final class SendRing {

    /**
     * How many messages the event loop writes before it serves its sockets, so that a flood of sends can't starve
     * reads.
     */
    private static final int MOST_PER_DRAIN = 512;

    private final MessagePassingQueue<Outgoing> queue;
    private final PeerTable table;
    private final Executor eventLoop;
    private final AtomicBoolean drainAhead = new AtomicBoolean();
    private volatile boolean stopped;

    SendRing(PeerTable table, Executor eventLoop) {
        this.queue = new MpscAtomicArrayQueue<>(table.limits().ringCapacity());
        this.table = table;
        this.eventLoop = eventLoop;
    }

    void offer(Outgoing outgoing) {
        if (!queue.offer(outgoing)) {
            table.unsent(outgoing.peer(), outgoing.message());
            return;
        }
        if (stopped) {
            reportRest();
        } else if (drainAhead.compareAndSet(false, true)) {
            drainSoon();
        }
    }

    private void drainSoon() {
        try {
            eventLoop.execute(this::drain);
        } catch (RejectedExecutionException e) {
            // The event loop has just ended; stop() follows and reports the remaining messages.
        }
    }

    /** Writes the offered messages; runs on the event loop. */
    void drain() {
        // Cleared before the first poll, so that a message offered after the last poll schedules the next drain.
        drainAhead.set(false);
        Set<PeerConnection> written = new HashSet<>();
        for (int i = 0; i < MOST_PER_DRAIN; i++) {
            Outgoing next = queue.poll();
            if (next == null) {
                break;
            }
            write(next).ifPresent(written::add);
        }
        written.forEach(PeerConnection::flush);
        if (!queue.isEmpty() && drainAhead.compareAndSet(false, true)) {
            drainSoon();
        }
    }

    /** Writes all messages offered so far; runs on the event loop. */
    void drainFully() {
        while (!queue.isEmpty()) {
            drain();
        }
    }

    private Optional<PeerConnection> write(Outgoing outgoing) {
        Optional<PeerConnection> connection = table.open(outgoing.peer());
        if (connection.isPresent() && table.isBlocked(outgoing.peer())) {
            table.counters().blocked();
            return Optional.empty();
        }
        Optional<PeerConnection> taken = connection.filter(open -> open.send(outgoing.message()));
        if (taken.isEmpty()) {
            table.unsent(outgoing.peer(), outgoing.message());
        }
        return taken;
    }

    /** Reports the remaining and all later messages as unsent; called after the event loop has ended. */
    void stop() {
        stopped = true;
        reportRest();
    }

    private synchronized void reportRest() {
        Outgoing next = queue.poll();
        while (next != null) {
            table.unsent(next.peer(), next.message());
            next = queue.poll();
        }
    }
}
