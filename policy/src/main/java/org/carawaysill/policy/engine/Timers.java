package org.carawaysill.policy.engine;

import java.util.Comparator;
import java.util.Optional;
import java.util.PriorityQueue;

/**
 * Orders pieces of work by the time at which an action on them is due.
 *
 * <p>An entry whose work has finished stays until it reaches the head and is then skipped, so that cancelling costs
 * nothing. Not thread safe: owned by the policy.
 */
final class Timers {

    private final PriorityQueue<Entry> entries = new PriorityQueue<>(Comparator.comparingLong(Entry::dueNanos));

    void add(long dueNanos, Work work) {
        entries.add(new Entry(dueNanos, work));
    }

    Optional<Work> pollDue(long now) {
        while (!entries.isEmpty() && entries.peek().dueNanos() <= now) {
            Work work = entries.remove().work();
            if (!work.finished()) {
                return Optional.of(work);
            }
        }
        return Optional.empty();
    }

    long nextNanos() {
        while (!entries.isEmpty() && entries.peek().work().finished()) {
            entries.remove();
        }
        return entries.isEmpty() ? Long.MAX_VALUE : entries.peek().dueNanos();
    }

    private record Entry(long dueNanos, Work work) {}
}
