package org.carawaysill.load.report;

import java.util.Map;
import org.carawaysill.load.audit.NodeCounters;

/**
 * What the copies of a chain ran, and what its nodes counted.
 *
 * <p>Immutable and thread safe.
 *
 * @param mostRunsByHop the most runs of one request at each hop
 * @param nodes what the nodes counted
 */
public record Chain(Map<String, Integer> mostRunsByHop, NodeCounters nodes) {

    public Chain {
        mostRunsByHop = Map.copyOf(mostRunsByHop);
    }

    int mostRunsOfOneHop() {
        return mostRunsByHop.values().stream().mapToInt(Integer::intValue).max().orElse(0);
    }
}
