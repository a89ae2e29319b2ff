package org.carawaysill.load.report;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;
import java.util.stream.Collectors;
import java.util.stream.DoubleStream;
import java.util.stream.Stream;
import org.HdrHistogram.Histogram;
import org.carawaysill.load.audit.Audit;
import org.carawaysill.load.client.RequestRecord;
import org.carawaysill.load.client.TryResult;
import org.carawaysill.load.client.TryResult.NotRun;
import org.carawaysill.load.run.ProcessorSample;
import org.carawaysill.load.run.RunOutcome;
import org.carawaysill.load.run.RunSettings;
import org.carawaysill.load.scenario.Timeline;
import org.carawaysill.load.scenario.Window;

/**
 * Computes a report from the recorded data of a run.
 *
 * <p>Immutable and thread safe.
 */
public final class ReportBuilder {

    private static final int SIGNIFICANT_DIGITS = 3;
    private static final long NANOS_PER_MICROSECOND = 1000;

    private final RunSettings settings;
    private final Timeline timeline;
    private final Audit audit;
    private final List<RequestRecord> records;
    private final List<ProcessorSample> processors;
    private final Buckets buckets;

    /**
     * Creates the builder.
     *
     * @param outcome the recorded data of the run
     */
    public ReportBuilder(RunOutcome outcome) {
        settings = outcome.settings();
        timeline = settings.timeline();
        audit = outcome.audit();
        records = audit.records();
        processors = outcome.processors();
        buckets = new Buckets(timeline, records);
    }

    /**
     * Computes the report.
     *
     * @return the report
     */
    public RunReport build() {
        Map<String, Integer> violations = violations();
        List<Recovery> recoveries = recoveries();
        return new RunReport(
                played(),
                countPerSecond(this::wholeInTrigger),
                new SlotUse(settings.site(), settings.scenario(), timeline.triggers()).ratio(records),
                recoveries.stream().mapToDouble(Recovery::seconds).max().orElse(0),
                recoveries.stream().allMatch(Recovery::complete),
                records.stream().mapToInt(audit::attempts).max().orElse(0),
                records.stream().mapToInt(audit::attempts).average().orElse(0),
                answeredRatio(request -> request.arrival().operation().important()),
                violations.values().stream().mapToInt(Integer::intValue).sum(),
                violations,
                refusals(),
                latencies(),
                traffic(),
                chain(),
                bench(),
                buckets.series());
    }

    private RunParameters played() {
        return new RunParameters(
                settings.policy(),
                settings.site().name(),
                settings.scenario().text(),
                settings.seed(),
                settings.seconds());
    }

    private Traffic traffic() {
        return new Traffic(
                records.size(),
                records.stream()
                        .mapToInt(request -> request.tries().size())
                        .average()
                        .orElse(0),
                counted(tries().map(TryResult::countedAs)),
                settings.site().capacityPerSecond(),
                steadyPerSecond(),
                countPerSecond(this::sentInTrigger),
                answeredByOperation());
    }

    private Chain chain() {
        Map<String, Integer> mostRuns = new TreeMap<>();
        audit.mostRuns().forEach((hop, runs) -> mostRuns.put(hop.toString(), runs));
        return new Chain(mostRuns, audit.counters());
    }

    private BenchState bench() {
        return new BenchState(
                sentLate().p99(), busy().max().orElse(0), busy().average().orElse(0));
    }

    private double countPerSecond(Predicate<RequestRecord> which) {
        double seconds =
                timeline.triggers().stream().mapToDouble(Window::seconds).sum();
        return records.stream().filter(which).count() / seconds;
    }

    private double steadyPerSecond() {
        Window steady = timeline.steady();
        long whole = records.stream()
                .filter(RequestRecord::whole)
                .filter(request -> steady.contains(request.finishedNanos()))
                .count();
        return whole / steady.seconds();
    }

    private List<Recovery> recoveries() {
        List<Recovery> recoveries = new ArrayList<>();
        double normal = settings.rates().normalPerSecond();
        timeline.recoveries().forEach(window -> recoveries.add(Recovery.of(buckets, normal, window)));
        return recoveries;
    }

    private boolean sentInTrigger(RequestRecord request) {
        return timeline.triggered(request.arrival().atNanos());
    }

    private boolean wholeInTrigger(RequestRecord request) {
        return request.whole() && timeline.triggered(request.finishedNanos());
    }

    private double answeredRatio(Predicate<RequestRecord> which) {
        return records.stream()
                .filter(this::sentInTrigger)
                .filter(which)
                .mapToInt(request -> request.whole() ? 1 : 0)
                .average()
                .orElse(1);
    }

    private Map<String, Double> answeredByOperation() {
        Map<String, Double> ratios = new TreeMap<>();
        settings.site()
                .operations()
                .forEach(operation -> ratios.put(
                        operation.name(),
                        answeredRatio(request -> request.arrival().operation().equals(operation))));
        return ratios;
    }

    private Stream<TryResult> tries() {
        return records.stream().flatMap(request -> request.tries().stream());
    }

    private Map<String, Integer> refusals() {
        return counted(tries().filter(NotRun.class::isInstance).map(result -> ((NotRun) result).reason()));
    }

    private Map<String, Latency> latencies() {
        Map<String, Latency> latencies = new TreeMap<>();
        latencies.put(
                "steady",
                latency(request -> timeline.steady().contains(request.arrival().atNanos())));
        latencies.put("trigger", latency(this::sentInTrigger));
        latencies.put(
                "triggerImportant",
                latency(request ->
                        sentInTrigger(request) && request.arrival().operation().important()));
        return latencies;
    }

    private Latency latency(Predicate<RequestRecord> which) {
        return times(RequestRecord::latencyNanos, request -> request.whole() && which.test(request));
    }

    private Latency sentLate() {
        return times(RequestRecord::lateNanos, this::sentInTrigger);
    }

    private Latency times(ToLongFunction<RequestRecord> nanos, Predicate<RequestRecord> which) {
        Histogram histogram = new Histogram(SIGNIFICANT_DIGITS);
        records.stream()
                .filter(which)
                .mapToLong(nanos)
                .forEach(time -> histogram.recordValue(Math.max(0, time) / NANOS_PER_MICROSECOND));
        return Latency.of(histogram);
    }

    private DoubleStream busy() {
        return processors.stream()
                .filter(sample -> timeline.triggered(sample.atNanos()))
                .mapToDouble(ProcessorSample::busyRatio);
    }

    private Map<String, Integer> violations() {
        Map<String, Integer> byKind = new TreeMap<>();
        audit.violations().forEach((kind, count) -> byKind.put(kind.text(), count));
        audit.counters()
                .breaches()
                .forEach((invariant, count) -> byKind.put("noticed by a node: " + invariant, Math.toIntExact(count)));
        return byKind;
    }

    private static Map<String, Integer> counted(Stream<String> names) {
        return names.collect(Collectors.toMap(Function.identity(), name -> 1, Integer::sum, TreeMap::new));
    }
}
