package org.carawaysill.load.report;

import java.util.Map;

/**
 * The requests of callers and their results.
 *
 * <p>Immutable and thread safe.
 *
 * @param requests the number of requests sent
 * @param triesPerRequest the mean number of tries per request
 * @param triesByResult the number of tries by result
 * @param capacityPerSecond the bottleneck's capacity for the normal mix without triggers
 * @param steadyPerSecond requests answered completely per second in the steady phase
 * @param offeredPerSecond requests sent per second during the triggers, without their clients' retries
 * @param answeredByOperation the share of requests sent during the triggers that were answered, by operation
 */
public record Traffic(
        int requests,
        double triesPerRequest,
        Map<String, Integer> triesByResult,
        double capacityPerSecond,
        double steadyPerSecond,
        double offeredPerSecond,
        Map<String, Double> answeredByOperation) {

    public Traffic {
        triesByResult = Map.copyOf(triesByResult);
        answeredByOperation = Map.copyOf(answeredByOperation);
    }
}
