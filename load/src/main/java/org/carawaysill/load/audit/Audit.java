package org.carawaysill.load.audit;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.carawaysill.load.client.AnswerFault;
import org.carawaysill.load.client.RequestRecord;
import org.carawaysill.load.client.TryResult;
import org.carawaysill.load.client.TryResult.Broken;
import org.carawaysill.load.site.CallGraph;
import org.carawaysill.load.site.Hop;
import org.carawaysill.load.site.LoadOperation;

/**
 * Checks the results that callers saw against the runs of the copies.
 *
 * <p>Immutable and thread safe once the run log is complete.
 *
 * @param graph how the services call one another
 * @param records all requests of the run
 * @param runLog the runs of the copies
 * @param counters the counters of the nodes
 */
public record Audit(CallGraph graph, List<RequestRecord> records, RunLog runLog, NodeCounters counters) {

    public Audit {
        records = List.copyOf(records);
    }

    /**
     * Counts the violations by kind.
     *
     * @return the number of requests for each kind that occurred
     */
    public Map<Violation, Integer> violations() {
        Map<Violation, Integer> counts = new EnumMap<>(Violation.class);
        for (RequestRecord request : records) {
            countAnswers(request, counts);
            countRuns(request, runLog.runs(request.traceIdentifier()), counts);
        }
        return counts;
    }

    /**
     * Returns the number of attempts of one request.
     *
     * @param request the request
     * @return the number of runs at the copies of all hops
     */
    public int attempts(RequestRecord request) {
        return runLog.runs(request.traceIdentifier()).values().stream()
                .mapToInt(Integer::intValue)
                .sum();
    }

    /**
     * Returns the maximum number of runs of one request at each hop.
     *
     * @return the maximum number of runs of one request at the copies of the hop's service
     */
    public Map<Hop, Integer> mostRuns() {
        Map<Hop, Integer> most = new HashMap<>();
        for (RequestRecord request : records) {
            runLog.runs(request.traceIdentifier()).forEach((hop, runs) -> most.merge(hop, runs, Math::max));
        }
        return most;
    }

    private static int most(Map<Hop, Integer> runs) {
        return runs.values().stream().mapToInt(Integer::intValue).max().orElse(0);
    }

    private static void countAnswers(RequestRecord request, Map<Violation, Integer> counts) {
        for (TryResult result : request.tries()) {
            if (result instanceof Broken(AnswerFault fault)) {
                Violation kind = fault == AnswerFault.FOREIGN ? Violation.FOREIGN_ANSWER : Violation.INCOMPLETE_ANSWER;
                counts.merge(kind, 1, Integer::sum);
            }
        }
    }

    private void countRuns(RequestRecord request, Map<Hop, Integer> runs, Map<Violation, Integer> counts) {
        int most = most(runs);
        countIf(request.everyTryNotRun() && most > 0, Violation.NOT_RUN_RAN, counts);
        countIf(ranTwice(runs), Violation.RAN_TWICE, counts);
        countIf(overBound(request.arrival().operation(), runs), Violation.RETRY_BOUND, counts);
        countIf(request.whole() && most == 0, Violation.ANSWERED_NOT_RUN, counts);
    }

    private boolean ranTwice(Map<Hop, Integer> runs) {
        return runs.entrySet().stream().anyMatch(entry -> entry.getValue() > 1 && !graph.idempotent(entry.getKey()));
    }

    // Each run of a hop beyond those of a request without retries was caused by at least one retry credit.
    private boolean overBound(LoadOperation operation, Map<Hop, Integer> runs) {
        Map<Hop, Integer> expected = graph.runs(operation);
        int tries = 1 + operation.retryCredits();
        return runs.entrySet().stream()
                .anyMatch(entry -> entry.getValue() > tries * expected.getOrDefault(entry.getKey(), 1));
    }

    private static void countIf(boolean occurred, Violation kind, Map<Violation, Integer> counts) {
        if (occurred) {
            counts.merge(kind, 1, Integer::sum);
        }
    }
}
