package org.carawaysill.standin.upstream;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.List;
import java.util.Optional;

/**
 * Counts the runs of a copy. A run counts as started when its work begins.
 *
 * <p>Invariants: started = completed + failed + cancelled + running; the counts by trace are exact as long as
 * {@code overflowed} is false, and too low afterwards. Not thread safe: used on the event loop only.
 */
final class RunLog {

    private final List<GraphOperation> operations;
    private final RunTable runs;
    private long started;
    private long completed;
    private long failed;
    private long cancelled;
    private long refused;
    private long shed;
    private long withdrawn;
    private long untraced;
    private long foreignAnswers;
    private int maximumRunsPerTrace;
    private boolean overflowed;

    /**
     * Creates an empty log.
     *
     * @param operations the operations of the graph
     * @param capacity how many pairs of trace and operation it stores
     */
    RunLog(List<GraphOperation> operations, int capacity) {
        this.operations = operations;
        this.runs = new RunTable(capacity);
    }

    void started(Optional<TraceIdentifier> trace, int operation) {
        started++;
        if (trace.isEmpty()) {
            untraced++;
            return;
        }
        int count = runs.count(trace.get(), operation);
        maximumRunsPerTrace = Math.max(maximumRunsPerTrace, count);
        overflowed |= count == 0;
    }

    void completed() {
        completed++;
    }

    void failed() {
        failed++;
    }

    void cancelled() {
        cancelled++;
    }

    /** Counts a request that was refused because no connection was free or the copy was draining. */
    void refused() {
        refused++;
    }

    /** Counts a request whose deadline had passed when its slot became free. */
    void shed() {
        shed++;
    }

    /** Counts a request whose caller disconnected while it waited. */
    void withdrawn() {
        withdrawn++;
    }

    /** Counts an answer of a deeper service that belonged to another request or was not complete. */
    void foreignAnswer() {
        foreignAnswers++;
    }

    RunTable runs() {
        return runs;
    }

    /** Writes all counts except the runs by trace. */
    JsonObject toJson() {
        return new JsonObject()
                .put("started", started)
                .put("completed", completed)
                .put("failed", failed)
                .put("cancelled", cancelled)
                .put("refused", refused)
                .put("shed", shed)
                .put("withdrawn", withdrawn)
                .put("untraced", untraced)
                .put("foreignAnswers", foreignAnswers)
                .put("overflowed", overflowed)
                .put("maxRunsPerTrace", maximumRunsPerTrace)
                .put("duplicates", duplicates());
    }

    /** Writes one entry of a table. */
    JsonObject entry(RunTable table, int entry) {
        return new JsonObject()
                .put("trace", table.trace(entry).toString())
                .put("operation", operations.get(table.operation(entry)).name())
                .put("runs", table.runs(entry));
    }

    private JsonArray duplicates() {
        JsonArray duplicates = new JsonArray();
        for (int i = 0; i < runs.size(); i++) {
            if (runs.runs(i) > 1 && !operations.get(runs.operation(i)).idempotent()) {
                duplicates.add(entry(runs, i));
            }
        }
        return duplicates;
    }
}
