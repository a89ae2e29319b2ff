package org.carawaysill.load.report;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.stream.Collectors;

/** Formats two reports as a table side by side. Stateless and thread safe. */
public final class ComparisonTable {

    private static final int PERCENT = 100;

    private ComparisonTable() {}

    /**
     * Returns the table.
     *
     * @param comparison the two reports
     * @return lines, each with a line end
     */
    public static String of(Comparison comparison) {
        List<Row> rows = new ArrayList<>();
        rows.add(new Row("", "baseline", "carawaysill"));
        FIGURES.forEach(figure -> rows.add(row(comparison, figure)));
        addCounts(rows, comparison, "violation: ", RunReport::violationsByKind);
        addCounts(rows, comparison, "refused: ", RunReport::refusalsByReason);
        addCounts(
                rows,
                comparison,
                "retried by a node: ",
                report -> report.chain().nodes().retries());
        int width = rows.stream().mapToInt(row -> row.name().length()).max().orElse(0);
        return heading(comparison.carawaysill().played())
                + rows.stream().map(row -> row.text(width)).collect(Collectors.joining());
    }

    private static final List<Figure> FIGURES = List.of(
            new Figure(
                    "offered during the trigger, requests/s",
                    report -> number(report.traffic().offeredPerSecond(), 0)),
            new Figure("goodput of whole requests, requests/s", report -> number(report.goodputPerSecond(), 0)),
            new Figure("goodput, share of what the bottleneck serves", report -> percent(report.goodputRatio(), 1)),
            new Figure(
                    "goodput before the trigger, requests/s",
                    report -> number(report.traffic().steadyPerSecond(), 0)),
            new Figure("recovery after the trigger, s", ComparisonTable::recovery),
            new Figure("important requests answered", report -> percent(report.importantAnsweredRatio(), 2)),
            new Figure("attempts per request, mean", report -> number(report.attemptsPerRequestMean(), 2)),
            new Figure("attempts per request, most", report -> String.valueOf(report.attemptsPerRequestMax())),
            new Figure(
                    "attempts at one hop, most",
                    report -> String.valueOf(report.chain().mostRunsOfOneHop())),
            new Figure(
                    "tries per client, mean", report -> number(report.traffic().triesPerRequest(), 2)),
            new Figure("latency of whole requests, p50 ms", report -> triggerLatency(report, Latency::p50)),
            new Figure("latency of whole requests, p99 ms", report -> triggerLatency(report, Latency::p99)),
            new Figure("bench late, p99 ms", report -> number(report.bench().sentLateMillisecondsP99(), 0)),
            new Figure("processors busy, most", report -> percent(report.bench().processorsBusyMax(), 0)),
            new Figure("violations", report -> String.valueOf(report.violations())));

    private static String heading(RunParameters played) {
        return "site %s, scenario %s, seed %d, %d s a policy%n"
                .formatted(played.site(), played.scenario(), played.seed(), played.seconds());
    }

    private static Row row(Comparison comparison, Figure figure) {
        return new Row(
                figure.name(),
                figure.text().apply(comparison.baseline()),
                figure.text().apply(comparison.carawaysill()));
    }

    private static void addCounts(
            List<Row> rows,
            Comparison comparison,
            String prefix,
            Function<RunReport, ? extends Map<String, ? extends Number>> counts) {
        Map<String, ? extends Number> baseline = counts.apply(comparison.baseline());
        Map<String, ? extends Number> carawaysill = counts.apply(comparison.carawaysill());
        TreeSet<String> names = new TreeSet<>(baseline.keySet());
        names.addAll(carawaysill.keySet());
        names.forEach(name -> rows.add(new Row(prefix + name, count(baseline, name), count(carawaysill, name))));
    }

    private static String count(Map<String, ? extends Number> counts, String name) {
        return counts.containsKey(name) ? String.valueOf(counts.get(name)) : "0";
    }

    private static String recovery(RunReport report) {
        return (report.recovered() ? "" : "> ") + number(report.recoverySeconds(), 1);
    }

    private static String triggerLatency(RunReport report, Function<Latency, Double> percentile) {
        return number(percentile.apply(report.latencyMilliseconds().get("trigger")), 0);
    }

    private static String number(double value, int digits) {
        return String.format(Locale.ROOT, "%." + digits + "f", value);
    }

    private static String percent(double ratio, int digits) {
        return number(PERCENT * ratio, digits) + "%";
    }

    /** A figure of a report. Immutable and thread safe. */
    private record Figure(String name, Function<RunReport, String> text) {}

    /** A line of the table. Immutable and thread safe. */
    private record Row(String name, String baseline, String carawaysill) {

        String text(int width) {
            return String.format(Locale.ROOT, "%-" + width + "s  %12s  %12s%n", name, baseline, carawaysill);
        }
    }
}
