package org.carawaysill.load.fleet;

import java.util.List;

/**
 * The cost of a fleet's control work.
 *
 * <p>Immutable and thread safe.
 *
 * @param nodes the number of nodes
 * @param services the number of services
 * @param livePeersMean the mean number of nodes that a node monitored and saw as live at the end: those of its own
 *     service and selected ones of the services that it calls, without callers that selected it
 * @param readySeconds the time from the start of the measurement until the last node was ready, or 0 if all were ready
 * @param readsAtStart calls at the configuration stand-in until all nodes were ready
 * @param largestReadsPerSecond the maximum number of calls in one second of the run
 * @param processorsBusy the processor utilisation of the machine at the end, by all its processes
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
