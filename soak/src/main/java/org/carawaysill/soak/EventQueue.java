package org.carawaysill.soak;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Runs scheduled actions in virtual time.
 *
 * <p>Invariant: time never falls; entries due at the same time run in the order in which they were added. Not thread
 * safe: one schedule owns it.
 */
final class EventQueue {

    private final PriorityQueue<Entry> entries =
            new PriorityQueue<>(Comparator.comparingLong(Entry::atNanos).thenComparingLong(Entry::sequence));
    private long now;
    private long sequence;

    long now() {
        return now;
    }

    void in(long delayNanos, Runnable action) {
        at(now + delayNanos, action);
    }

    void at(long nanos, Runnable action) {
        sequence++;
        entries.add(new Entry(Math.max(nanos, now), sequence, action));
    }

    void runUntil(long end) {
        while (!entries.isEmpty() && entries.peek().atNanos() <= end) {
            Entry entry = entries.remove();
            now = entry.atNanos();
            entry.action().run();
        }
        now = end;
    }

    private record Entry(long atNanos, long sequence, Runnable action) {}
}
