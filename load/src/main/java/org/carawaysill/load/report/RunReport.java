package org.carawaysill.load.report;

import java.util.Map;

/**
 * What one run came to, as written to a file.
 *
 * <p>Immutable and thread safe.
 *
 * @param played what was played
 * @param goodputPerSecond whole requests answered during the triggers
 * @param goodputRatio time of the bottleneck's slots that whole requests used during the triggers, over all there was
 * @param recoverySeconds from a trigger's end to the normal goodput; the longest, or the time watched if it never came
 * @param recovered whether the normal goodput came back after each trigger
 * @param attemptsPerRequestMax the most runs of one request, over all copies of the chain
 * @param attemptsPerRequestMean the same on average
 * @param importantAnsweredRatio share of important and critical requests sent during the triggers that were answered
 * @param violations how many promises were broken, as seen from outside or noticed by the nodes themselves
 * @param violationsByKind the same by kind
 * @param refusalsByReason refusals that clients saw, by reason
 * @param latencyMilliseconds time to a whole answer, by phase
 * @param traffic what callers sent and got
 * @param chain what copies ran and nodes counted
 * @param bench how far the machine allows the rest to be believed
 * @param series goodput over time
 */
public record RunReport(
        Played played,
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
