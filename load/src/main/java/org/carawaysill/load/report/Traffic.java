package org.carawaysill.load.report;

import java.util.Map;

/**
 * What callers sent and got.
 *
 * <p>Immutable and thread safe.
 *
 * @param requests the requests sent
 * @param triesPerRequest how often a client sent a request, on average
 * @param triesByResult all tries by what they came to
 * @param capacityPerSecond what the bottleneck could serve of the normal mix with nothing wrong
 * @param steadyPerSecond goodput of whole requests in the steady phase
 * @param offeredPerSecond requests sent during the triggers, without their clients' retries
 * @param answeredByOperation share of requests sent during the triggers that were answered, by kind
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
