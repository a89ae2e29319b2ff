package org.carawaysill.policy.admission;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs actions in the order of their moments, ties in the order in which they were given. Not thread safe. */
final class VirtualTime {

    private final PriorityQueue<Action> actions =
            new PriorityQueue<>(Comparator.comparingLong(Action::atNanos).thenComparingLong(Action::sequence));
    private long now;
    private long sequence;

    long now() {
        return now;
    }

    void after(long nanos, Runnable body) {
        actions.add(new Action(now + nanos, sequence++, body));
    }

    void runUntil(long endNanos) {
        while (!actions.isEmpty() && actions.peek().atNanos() <= endNanos) {
            Action next = actions.remove();
            now = next.atNanos();
            next.body().run();
        }
        now = endNanos;
    }

    private record Action(long atNanos, long sequence, Runnable body) {}
}
