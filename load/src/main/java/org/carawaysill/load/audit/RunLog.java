package org.carawaysill.load.audit;

import java.util.HashMap;
import java.util.Map;
import org.carawaysill.load.site.Hop;

/**
 * Counts the runs of a site's upstream copies by trace.
 *
 * <p>Not thread safe: filled and read by one thread after the other.
 */
public final class RunLog {

    private final Map<String, Map<Hop, Integer>> runsByTrace = new HashMap<>();

    /**
     * Adds runs of one copy.
     *
     * @param trace the trace identifier
     * @param hop the service and operation
     * @param runs how often the copy started it
     */
    public void add(String trace, Hop hop, int runs) {
        runsByTrace.computeIfAbsent(trace, ignored -> new HashMap<>()).merge(hop, runs, Integer::sum);
    }

    /**
     * Returns the runs of one request.
     *
     * @param trace the trace identifier
     * @return the number of runs of each hop, over all copies of its service
     */
    public Map<Hop, Integer> runs(String trace) {
        return Map.copyOf(runsByTrace.getOrDefault(trace, Map.of()));
    }
}
