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
 * Holds what callers saw against what copies ran.
 *
 * <p>Immutable and thread safe once the run log is complete.
 *
 * @param graph how the services call one another
 * @param records every request of the run
 * @param runLog what the copies ran
 * @param counters what the nodes counted
 */
public record Audit(CallGraph graph, List<RequestRecord> records, RunLog runLog, NodeCounters counters) {

    public Audit {
        records = List.copyOf(records);
    }

    /**
     * Counts the violations.
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
     * Gives the attempts of one request.
     *
     * @param request the request
     * @return how often copies ran a part of it, over the whole chain
     */
    public int attempts(RequestRecord request) {
        return runLog.runs(request.traceIdentifier()).values().stream()
                .mapToInt(Integer::intValue)
                .sum();
    }

    /**
     * Gives the most runs of one request at each hop.
     *
     * @return how often the copies of the hop's service ran one request at most
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

    // Each run of a hop beyond those of a request that needs no retry was brought about by at least one credit.
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
