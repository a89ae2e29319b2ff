package org.carawaysill.load.fleet;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.ToDoubleBiFunction;
import java.util.stream.IntStream;
import org.carawaysill.load.report.Latency;

/**
 * The cost of a phase, per node and at the platform.
 *
 * <p>Immutable and thread safe.
 *
 * @param name the name of the phase
 * @param seconds the length of the phase
 * @param publications the number of documents published in the phase
 * @param processorShareMean processor time of a node, as a share of one core, mean over the nodes
 * @param processorShareMax the same for the busiest node
 * @param residentMegabytesMean resident memory at the end in units of 1,000,000 bytes, mean over the nodes
 * @param residentMegabytesMax the same for the largest node
 * @param bytesPerSecondMean bytes between nodes, sent and received together, mean over the nodes
 * @param bytesPerSecondMax the same for the busiest node
 * @param bytesPerSecondByKind the mean by kind of traffic
 * @param readsPerSecond calls of the whole fleet at the configuration stand-in
 * @param watchesPerSecond how many of them were watches
 * @param inForceMilliseconds the time from publication until in force on the last node; empty in phases without timing
 * @param overdue the number of publications that were not in force on all nodes within the limit
 */
public record PhaseReport(
        String name,
        double seconds,
        int publications,
        double processorShareMean,
        double processorShareMax,
        double residentMegabytesMean,
        double residentMegabytesMax,
        double bytesPerSecondMean,
        double bytesPerSecondMax,
        Map<String, Double> bytesPerSecondByKind,
        double readsPerSecond,
        double watchesPerSecond,
        Latency inForceMilliseconds,
        int overdue) {

    private static final double NANOS_PER_SECOND = 1e9;
    private static final double BYTES_PER_MEGABYTE = 1e6;

    public PhaseReport {
        bytesPerSecondByKind = Map.copyOf(bytesPerSecondByKind);
    }

    static PhaseReport of(String name, FleetReading before, FleetReading after, Publications publications) {
        double seconds = (after.atNanos() - before.atNanos()) / NANOS_PER_SECOND;
        List<Double> processor = rises(
                before, after, (earlier, later) -> (later.processorSeconds() - earlier.processorSeconds()) / seconds);
        List<Double> bytes =
                rises(before, after, (earlier, later) -> (later.linkBytes() - earlier.linkBytes()) / seconds);
        List<Double> resident = rises(before, after, (earlier, later) -> later.residentBytes() / BYTES_PER_MEGABYTE);
        return new PhaseReport(
                name,
                seconds,
                publications.count(),
                mean(processor),
                maximum(processor),
                mean(resident),
                maximum(resident),
                mean(bytes),
                maximum(bytes),
                byKind(before, after, seconds),
                (after.reads() - before.reads()) / seconds,
                (after.watches() - before.watches()) / seconds,
                publications.inForce(),
                publications.overdue());
    }

    private static Map<String, Double> byKind(FleetReading before, FleetReading after, double seconds) {
        Map<String, Double> means = new TreeMap<>();
        for (String kind : new TreeSet<>(after.nodes().getFirst().sentBytes().keySet())) {
            double mean = mean(rises(
                    before, after, (earlier, later) -> (later.linkBytes(kind) - earlier.linkBytes(kind)) / seconds));
            if (mean > 0) {
                means.put(kind, mean);
            }
        }
        return means;
    }

    private static List<Double> rises(
            FleetReading before, FleetReading after, ToDoubleBiFunction<NodeReading, NodeReading> rise) {
        return IntStream.range(0, after.nodes().size())
                .mapToObj(i ->
                        rise.applyAsDouble(before.nodes().get(i), after.nodes().get(i)))
                .toList();
    }

    private static double mean(List<Double> values) {
        return values.stream().mapToDouble(Double::doubleValue).average().orElse(0);
    }

    private static double maximum(List<Double> values) {
        return values.stream().mapToDouble(Double::doubleValue).max().orElse(0);
    }
}
