package org.carawaysill.load.fleet;

import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The metrics of a node at one time.
 *
 * <p>Immutable and thread safe.
 *
 * @param processorSeconds processor time since the process started
 * @param residentBytes resident memory
 * @param livePeers the number of monitored nodes that it sees as live
 * @param sentBytes bytes sent to other nodes, by kind
 * @param receivedBytes bytes received from other nodes, by kind
 */
record NodeReading(
        double processorSeconds,
        double residentBytes,
        int livePeers,
        Map<String, Double> sentBytes,
        Map<String, Double> receivedBytes) {

    private static final Pattern LINK_BYTES = Pattern.compile(
            "^carawaysill_link_bytes_total\\{direction=\"(\\w+)\",kind=\"(\\w+)\"\\} (\\S+)$", Pattern.MULTILINE);

    NodeReading {
        sentBytes = Map.copyOf(sentBytes);
        receivedBytes = Map.copyOf(receivedBytes);
    }

    /**
     * Parses the metrics of one node.
     *
     * @param metrics the metrics in Prometheus's text format
     * @return the reading
     */
    static NodeReading parse(String metrics) {
        return new NodeReading(
                value(metrics, "processor_seconds_total"),
                value(metrics, "resident_bytes"),
                (int) value(metrics, "peers{state=\"live\"}"),
                linkBytes(metrics, "sent"),
                linkBytes(metrics, "received"));
    }

    private static double value(String metrics, String series) {
        Matcher matcher = Pattern.compile("^" + Pattern.quote("carawaysill_" + series) + " (\\S+)$", Pattern.MULTILINE)
                .matcher(metrics);
        if (!matcher.find()) {
            throw new IllegalArgumentException("the metrics lack carawaysill_" + series);
        }
        return Double.parseDouble(matcher.group(1));
    }

    private static Map<String, Double> linkBytes(String metrics, String direction) {
        Map<String, Double> bytes = new TreeMap<>();
        Matcher matcher = LINK_BYTES.matcher(metrics);
        while (matcher.find()) {
            if (matcher.group(1).equals(direction)) {
                bytes.put(matcher.group(2), Double.parseDouble(matcher.group(3)));
            }
        }
        return bytes;
    }

    /** Returns the number of bytes sent or received. */
    double linkBytes() {
        return sum(sentBytes) + sum(receivedBytes);
    }

    /** Returns the number of bytes of one kind sent or received. */
    double linkBytes(String kind) {
        return sentBytes.getOrDefault(kind, 0.0) + receivedBytes.getOrDefault(kind, 0.0);
    }

    private static double sum(Map<String, Double> bytes) {
        return bytes.values().stream().mapToDouble(Double::doubleValue).sum();
    }
}
