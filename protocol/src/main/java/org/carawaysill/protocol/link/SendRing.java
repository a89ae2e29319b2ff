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
    private static final int MAXIMUM_PER_DRAIN = 512;

    private final MessagePassingQueue<OutgoingMessage> queue;
    private final PeerTable table;
    private final Executor eventLoop;
    private final AtomicBoolean drainScheduled = new AtomicBoolean();
    private volatile boolean stopped;

    SendRing(PeerTable table, Executor eventLoop) {
        this.queue = new MpscAtomicArrayQueue<>(table.limits().ringCapacity());
        this.table = table;
        this.eventLoop = eventLoop;
    }

    void offer(OutgoingMessage outgoing) {
        if (!queue.offer(outgoing)) {
            table.unsent(outgoing.peer(), outgoing.message());
            return;
        }
        if (stopped) {
            reportRemaining();
        } else if (drainScheduled.compareAndSet(false, true)) {
            scheduleDrain();
        }
    }

    private void scheduleDrain() {
        try {
            eventLoop.execute(this::drain);
        } catch (RejectedExecutionException e) {
            // The event loop has just ended; stop() follows and reports the remaining messages.
        }
    }

    /** Writes the offered messages; runs on the event loop. */
    void drain() {
        // Cleared before the first poll, so that a message offered after the last poll schedules the next drain.
        drainScheduled.set(false);
        Set<PeerConnection> written = new HashSet<>();
        for (int i = 0; i < MAXIMUM_PER_DRAIN; i++) {
            OutgoingMessage next = queue.poll();
            if (next == null) {
                break;
            }
            write(next).ifPresent(written::add);
        }
        written.forEach(PeerConnection::flush);
        if (!queue.isEmpty() && drainScheduled.compareAndSet(false, true)) {
            scheduleDrain();
        }
    }

    /** Writes all messages offered so far; runs on the event loop. */
    void drainFully() {
        while (!queue.isEmpty()) {
            drain();
        }
    }

    private Optional<PeerConnection> write(OutgoingMessage outgoing) {
        Optional<PeerConnection> connection = table.open(outgoing.peer());
        if (connection.isPresent() && table.isBlocked(outgoing.peer())) {
            table.counters().countBlocked();
            return Optional.empty();
        }
        Optional<PeerConnection> accepted = connection.filter(open -> open.send(outgoing.message()));
        if (accepted.isEmpty()) {
            table.unsent(outgoing.peer(), outgoing.message());
        }
        return accepted;
    }

    /** Reports the remaining and all later messages as unsent; called after the event loop has ended. */
    void stop() {
        stopped = true;
        reportRemaining();
    }

    private synchronized void reportRemaining() {
        OutgoingMessage next = queue.poll();
        while (next != null) {
            table.unsent(next.peer(), next.message());
            next = queue.poll();
        }
    }
}
