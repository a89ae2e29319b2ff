package org.carawaysill.load.audit;

import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Counters of a site's nodes, by metric family and reason, summed over all nodes.
 *
 * <p>Immutable and thread safe.
 *
 * @param refusals requests that were refused and not run
 * @param retries requests that were retried
 * @param unknown requests with an unknown outcome
 * @param breaches violated invariants that the nodes noticed themselves
 */
public record NodeCounters(
        Map<String, Long> refusals, Map<String, Long> retries, Map<String, Long> unknown, Map<String, Long> breaches) {

    private static final Pattern SERIES =
            Pattern.compile("^carawaysill_(\\w+)_total\\{reason=\"(\\w+)\"\\} (\\S+)$", Pattern.MULTILINE);

    public NodeCounters {
        refusals = Map.copyOf(refusals);
        retries = Map.copyOf(retries);
        unknown = Map.copyOf(unknown);
        breaches = Map.copyOf(breaches);
    }

    /**
     * Returns empty counters.
     *
     * @return the counters
     */
    public static NodeCounters none() {
        return new NodeCounters(Map.of(), Map.of(), Map.of(), Map.of());
    }

    /**
     * Parses the metrics of one node.
     *
     * @param metrics the metrics in Prometheus's text format
     * @return the counters that are above 0
     */
    public static NodeCounters parse(String metrics) {
        return new NodeCounters(
                family(metrics, "refusals"),
                family(metrics, "retries"),
                family(metrics, "unknown"),
                family(metrics, "breaches"));
    }

    /**
     * Adds the counters of another node.
     *
     * @param other the counters of the other node
     * @return the sums
     */
    public NodeCounters plus(NodeCounters other) {
        return new NodeCounters(
                sum(refusals, other.refusals),
                sum(retries, other.retries),
                sum(unknown, other.unknown),
                sum(breaches, other.breaches));
    }

    private static Map<String, Long> family(String metrics, String name) {
        Map<String, Long> counts = new TreeMap<>();
        Matcher series = SERIES.matcher(metrics);
        while (series.find()) {
            long count = (long) Double.parseDouble(series.group(3));
            if (series.group(1).equals(name) && count > 0) {
                counts.put(series.group(2), count);
            }
        }
        return counts;
    }

    private static Map<String, Long> sum(Map<String, Long> first, Map<String, Long> second) {
        Map<String, Long> sums = new TreeMap<>(first);
        second.forEach((reason, count) -> sums.merge(reason, count, Long::sum));
        return sums;
    }
}
