package org.carawaysill.load.report;

import java.util.Map;

/**
 * The report of a run, as written to a file.
 *
 * <p>Immutable and thread safe.
 *
 * @param played the parameters of the run
 * @param goodputPerSecond requests answered completely per second during the triggers
 * @param goodputRatio the share of the bottleneck's slot time during the triggers that completely answered requests
 *     used
 * @param recoverySeconds the longest time from a trigger's end to normal goodput, or the length of the recovery window
 * @param recovered whether goodput became normal after each trigger
 * @param attemptsPerRequestMax the maximum number of runs of one request, over all copies of the chain
 * @param attemptsPerRequestMean the mean number of runs of one request, over all copies of the chain
 * @param importantAnsweredRatio the share of important and critical requests sent during the triggers that were
 *     answered
 * @param violations the number of violations, found from outside or noticed by the nodes themselves
 * @param violationsByKind the number of violations by kind
 * @param refusalsByReason refusals that clients saw, by reason
 * @param latencyMilliseconds the latencies of complete answers, by phase
 * @param traffic the requests of callers and their results
 * @param chain the runs of the copies and the counters of the nodes
 * @param bench the state of the machine, which shows how reliable the figures are
 * @param series goodput over time
 */
public record RunReport(
        RunParameters played,
        double goodputPerSecond,
        double goodputRatio,
        double recoverySeconds,
        boolean recovered,
        int attemptsPerRequestMax,
        double attemptsPerRequestMean,
        double importantAnsweredRatio,
        int violations,
        Map<String, Integer> violationsByKind,
        Map<String, Integer> refusalsByReason,
        Map<String, Latency> latencyMilliseconds,
        Traffic traffic,
        Chain chain,
        BenchState bench,
        Series series) {

    public RunReport {
        violationsByKind = Map.copyOf(violationsByKind);
        refusalsByReason = Map.copyOf(refusalsByReason);
        latencyMilliseconds = Map.copyOf(latencyMilliseconds);
    }
}
