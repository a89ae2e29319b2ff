package org.carawaysill.load.report;

import java.util.Map;
import org.carawaysill.load.audit.NodeCounters;

/**
 * What one run came to, as written to a file.
 *
 * <p>Immutable and thread safe.
 *
 * @param policy the policy under test
 * @param site the site
 * @param scenario what was played
 * @param seed the seed
 * @param seconds the run's length
 * @param requests the requests sent
 * @param triesPerRequest how often a client sent a request, on average
 * @param capacityPerSecond what the bottleneck could serve of the normal mix with nothing wrong
 * @param normalPerSecond goodput of whole requests in the steady phase
 * @param offeredPerSecond requests sent during the triggers, without their clients' retries
 * @param goodputPerSecond whole requests answered during the triggers
 * @param goodputRatio time of the bottleneck's slots that whole requests used during the triggers, over all there was
 * @param recoverySeconds from a trigger's end to the normal goodput; the longest, or the time watched if it never came
 * @param recovered whether the normal goodput came back after each trigger
 * @param attemptsPerRequestMax the most runs of one request, over all copies of the chain
 * @param attemptsPerRequestMean the same on average
 * @param runsPerHopMax the most runs of one request at one hop of the chain
 * @param importantAnsweredRatio share of important and critical requests sent during the triggers that were answered
 * @param violations how many promises were broken, as seen from outside or noticed by the nodes themselves
 * @param violationsByKind the same by kind
 * @param refusalsByReason refusals that clients saw, by reason
 * @param triesByResult all tries by what they came to
 * @param nodes what the nodes counted
 * @param latencyMilliseconds time to a whole answer, by phase
 * @param answeredByOperation share of requests sent during the triggers that were answered, by kind
 * @param sentLateMillisecondsP99 by how much the bench itself was late, at the 99th percentile of the triggers' requests
 * @param processorsBusyMax the busy share of the machine's processors in its busiest second of the triggers
 * @param processorsBusyMean the same on average
 * @param series goodput over time
 */
public record RunReport(
        String policy,
        String site,
        String scenario,
        long seed,
        int seconds,
        int requests,
        double triesPerRequest,
        double capacityPerSecond,
        double normalPerSecond,
        double offeredPerSecond,
        double goodputPerSecond,
        double goodputRatio,
        double recoverySeconds,
        boolean recovered,
        int attemptsPerRequestMax,
        double attemptsPerRequestMean,
        int runsPerHopMax,
        double importantAnsweredRatio,
        int violations,
        Map<String, Integer> violationsByKind,
        Map<String, Integer> refusalsByReason,
        Map<String, Integer> triesByResult,
        NodeCounters nodes,
        Map<String, Latency> latencyMilliseconds,
        Map<String, Double> answeredByOperation,
        double sentLateMillisecondsP99,
        double processorsBusyMax,
        double processorsBusyMean,
        Series series) {}
