package org.carawaysill.soak;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.carawaysill.model.request.Invariant;

/**
 * Keeps the last lines of a schedule's log and all breaches of invariants found in it.
 *
 * <p>Invariant: keeps a bounded number of lines and discards the oldest first. Not thread safe: one schedule owns it.
 */
final class Journal {

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final int linesKept;
    private final Deque<String> lines = new ArrayDeque<>();
    private final List<String> breaches = new ArrayList<>();

    Journal(int linesKept) {
        this.linesKept = linesKept;
    }

    void note(long now, String line) {
        if (lines.size() == linesKept) {
            lines.removeFirst();
        }
        lines.addLast(now / NANOS_PER_MILLI + " ms: " + line);
    }

    void breach(long now, Invariant invariant, String line) {
        note(now, "BREACH of " + invariant + ": " + line);
        breaches.add(now / NANOS_PER_MILLI + " ms: " + invariant + ": " + line);
    }

    List<String> breaches() {
        return List.copyOf(breaches);
    }

    List<String> end() {
        return List.copyOf(lines);
    }
}
