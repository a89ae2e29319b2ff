package org.carawaysill.load.report;

import java.util.Map;
import org.carawaysill.load.audit.NodeCounters;

/**
 * The runs of the copies of a call chain, and the counters of its nodes.
 *
 * <p>Immutable and thread safe.
 *
 * @param mostRunsByHop the maximum number of runs of one request at each hop
 * @param nodes the counters of the nodes
 */
public record Chain(Map<String, Integer> mostRunsByHop, NodeCounters nodes) {

    public Chain {
        mostRunsByHop = Map.copyOf(mostRunsByHop);
    }

    int mostRunsOfOneHop() {
        return mostRunsByHop.values().stream().mapToInt(Integer::intValue).max().orElse(0);
    }
}
