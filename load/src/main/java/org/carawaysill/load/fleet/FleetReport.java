package org.carawaysill.load.fleet;

import java.util.List;

/**
 * What a fleet's control work cost.
 *
 * <p>Immutable and thread safe.
 *
 * @param nodes how many nodes
 * @param services in how many services
 * @param livePeersMean how many nodes a node watched and believed alive at the end: of its own service and chosen ones of
 *     those that it calls; callers, which choose it, come on top
 * @param readySeconds from the start of the watching to the last node's readiness, or 0 where all were ready
 * @param readsAtStart calls at the configuration stand-in until all nodes were ready
 * @param largestReadsPerSecond the most of them in any second of the run
 * @param processorsBusy the busy share of the machine's processors, whatever made them so, at the end
 * @param phases the phases in their order
 */
public record FleetReport(
        int nodes,
        int services,
        double livePeersMean,
        double readySeconds,
        long readsAtStart,
        long largestReadsPerSecond,
        double processorsBusy,
        List<PhaseReport> phases) {

    public FleetReport {
        phases = List.copyOf(phases);
    }
}
