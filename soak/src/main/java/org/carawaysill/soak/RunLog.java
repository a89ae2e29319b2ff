package org.carawaysill.soak;

import java.util.HashMap;
import java.util.Map;
import org.carawaysill.model.request.Invariant;

/**
 * Counts the runs at all upstream copies by the caller's key and the operation, independently of what nodes report.
 *
 * <p>Not thread safe: one schedule owns it.
 */
final class RunLog {

    private final EventQueue eventQueue;
    private final Journal journal;
    private final Map<Run, Integer> runs = new HashMap<>();

    RunLog(EventQueue eventQueue, Journal journal) {
        this.eventQueue = eventQueue;
        this.journal = journal;
    }

    void started(String key, String operation, String copy) {
        int count = runs.merge(new Run(key, operation), 1, Integer::sum);
        journal.note(eventQueue.now(), copy + " runs " + operation + " of " + key + " (" + count + ")");
        if (count > 1 && Topology.runsAtMostOnce(operation)) {
            journal.breach(
                    eventQueue.now(), Invariant.AT_MOST_ONCE, operation + " of " + key + " ran " + count + " times");
        }
    }

    int count(String key) {
        return runs.entrySet().stream()
                .filter(entry -> entry.getKey().key().equals(key))
                .mapToInt(Map.Entry::getValue)
                .sum();
    }

    private record Run(String key, String operation) {}
}
