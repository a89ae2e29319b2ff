package org.carawaysill.load.audit;

import java.util.HashMap;
import java.util.Map;
import org.carawaysill.load.site.Hop;

/**
 * What the upstream copies of a site ran, by trace.
 *
 * <p>Not thread safe: filled and read by one thread after the other.
 */
public final class RunLog {

    private final Map<String, Map<Hop, Integer>> runsByTrace = new HashMap<>();

    /**
     * Adds runs of one copy.
     *
     * @param trace the trace identifier
     * @param hop what was run
     * @param runs how often the copy started it
     */
    public void add(String trace, Hop hop, int runs) {
        runsByTrace.computeIfAbsent(trace, ignored -> new HashMap<>()).merge(hop, runs, Integer::sum);
    }

    /**
     * Gives the runs of one request.
     *
     * @param trace the trace identifier
     * @return how often each hop was run, over all copies of its service
     */
    public Map<Hop, Integer> runs(String trace) {
        return Map.copyOf(runsByTrace.getOrDefault(trace, Map.of()));
    }
}
