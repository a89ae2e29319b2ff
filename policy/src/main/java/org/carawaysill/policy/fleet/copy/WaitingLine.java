package org.carawaysill.policy.fleet.copy;

import java.util.Collection;
import java.util.Optional;

/**
 * The requests that wait for the local copy, and the order in which they start.
 *
 * <p>Not thread safe: owned by the gate.
 */
sealed interface WaitingLine permits SingleLine, ClassedLine {

    /** Notes that a request arrived, once for each request. */
    void asked(long now, LocalRun run);

    /** Returns whether a request certainly can't be done in the time that it has left. */
    boolean isHopeless(long now, LocalRun run);

    /** Returns whether a request may start before those that wait, while fewer than {@code limit} requests run. */
    boolean mayStart(long now, LocalRun run, int limit);

    /** Returns whether a request that waits may start, while fewer than {@code limit} requests run. */
    boolean hasNext(long now, int limit);

    /** Adds a request where there is room for it, if need be in place of one that goes after it. */
    CopyGate.Offered add(long now, LocalRun run, int limit, int capacity);

    /** Adds a request for which room was found before. */
    void addReleased(LocalRun run);

    /** Removes and returns the request that starts next, while fewer than {@code limit} requests run. */
    Optional<LocalRun> takeNext(long now, int limit);

    /** Removes a request that waits. */
    void remove(LocalRun run);

    /** Notes that a request has a slot. */
    void started(long now, LocalRun run);

    /** Notes that a request has given its slot back. */
    void finished(long now, LocalRun run, CopyGate.Ending ending);

    /** Discards what was learned of the copy's earlier process. */
    void copyRestarted(long now);

    /** Returns the requests that wait, as a view that changes with this line. */
    Collection<LocalRun> waiting();

    /** Returns how many requests wait. */
    int size();

    /** Returns whether no request waits. */
    default boolean isEmpty() {
        return size() == 0;
    }

    /** Returns when a waiting request can no longer be answered in time, if an answer takes a margin to arrive. */
    long overdueNanos(LocalRun run, long margin);

    /** Returns when the first of some waiting requests can no longer be answered in time. */
    default long firstOverdueNanos(Collection<LocalRun> runs, long margin) {
        long first = Long.MAX_VALUE;
        for (LocalRun run : runs) {
            first = Math.min(first, overdueNanos(run, margin));
        }
        return first;
    }
}
