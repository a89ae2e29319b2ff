package org.carawaysill.soak;

import java.util.HashMap;
import java.util.Map;
import org.carawaysill.model.request.Invariant;

/**
 * Every run at every upstream copy, by the caller's key and the operation; what really happened, whatever nodes say.
 *
 * <p>Not thread safe: one schedule owns it.
 */
final class RunLog {

    private final Agenda agenda;
    private final Journal journal;
    private final Map<Run, Integer> runs = new HashMap<>();

    RunLog(Agenda agenda, Journal journal) {
        this.agenda = agenda;
        this.journal = journal;
    }

    void started(String key, String operation, String copy) {
        int count = runs.merge(new Run(key, operation), 1, Integer::sum);
        journal.note(agenda.now(), copy + " runs " + operation + " of " + key + " (" + count + ")");
        if (count > 1 && Topology.runsAtMostOnce(operation)) {
            journal.breach(agenda.now(), Invariant.AT_MOST_ONCE, operation + " of " + key + " ran " + count + " times");
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
