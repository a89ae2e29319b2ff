package org.carawaysill.load.plot;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.carawaysill.load.report.RunParameters;
import org.carawaysill.load.report.RunReport;
import org.carawaysill.load.report.Series;
import org.carawaysill.load.report.Series.Interval;

/**
 * Plots the goodput of runs of the same load over time as SVG, with the triggers marked.
 *
 * <p>Immutable and thread safe.
 */
public final class GoodputPlot {

    private static final int SMOOTHED_BUCKETS = 5;
    private static final int MARKS = 10;
    private static final double HEADROOM = 1.1;
    private static final String SENT_COLOUR = "#999999";
    private static final Map<String, String> COLOURS = Map.of("baseline", "#c0392b", "carawaysill", "#1f6fb2");
    private static final String OTHER_COLOUR = "#2c3e50";

    private final List<RunReport> reports;
    private final Series first;
    private final Frame frame;

    /**
     * Creates a plot.
     *
     * @param reports runs of the same load, at least one
     */
    public GoodputPlot(List<RunReport> reports) {
        this.reports = List.copyOf(reports);
        this.first = reports.getFirst().series();
        double seconds = first.whole().size() * first.bucketSeconds();
        double highest = reports.stream()
                .map(RunReport::series)
                .mapToDouble(series -> Math.max(highest(series, series.whole()), highest(series, series.sent())))
                .max()
                .orElse(1);
        this.frame = new Frame(seconds, Math.max(1, highest * HEADROOM));
    }

    /**
     * Renders the plot.
     *
     * @return the SVG document
     */
    public String svg() {
        StringBuilder svg = new StringBuilder();
        svg.append(Svg.open(Frame.WIDTH, Frame.HEIGHT));
        first.triggers().forEach(trigger -> svg.append(mark(trigger)));
        svg.append(axes());
        svg.append(line(first, first.sent(), SENT_COLOUR, "4 3"));
        reports.forEach(
                report -> svg.append(line(report.series(), report.series().whole(), colour(report), "")));
        svg.append(legend()).append(title());
        return svg.append(Svg.close()).toString();
    }

    private String mark(Interval trigger) {
        String left = frame.x(trigger.startSeconds());
        String right = frame.x(trigger.endSeconds());
        String label = Svg.text(left, Frame.text(Frame.TOP + 14), "start", "#8a6d00", "trigger");
        return Svg.band(left, right, Frame.TOP, Frame.BOTTOM, "#fff3cd") + label;
    }

    private String axes() {
        StringBuilder axes = new StringBuilder();
        double rateStep = Frame.step(frame.perSecond(), MARKS);
        for (double rate = 0; rate <= frame.perSecond(); rate += rateStep) {
            axes.append(Svg.line(Frame.text(Frame.LEFT), frame.y(rate), Frame.text(Frame.RIGHT), frame.y(rate)));
            axes.append(Svg.text(
                    Frame.text(Frame.LEFT - 6), frame.y(rate), "end", OTHER_COLOUR, String.valueOf(Math.round(rate))));
        }
        double timeStep = Math.max(1, Frame.step(frame.seconds(), MARKS));
        for (double at = 0; at <= frame.seconds(); at += timeStep) {
            axes.append(Svg.text(
                    frame.x(at), Frame.text(Frame.BOTTOM + 18), "middle", OTHER_COLOUR, Math.round(at) + " s"));
        }
        return axes.toString();
    }

    private String line(Series series, List<Integer> counts, String colour, String dashes) {
        String points = IntStream.range(0, counts.size())
                .mapToObj(bucket ->
                        frame.x((bucket + 0.5) * series.bucketSeconds()) + "," + frame.y(rate(series, counts, bucket)))
                .collect(Collectors.joining(" "));
        return Svg.polyline(points, colour, dashes);
    }

    private String legend() {
        StringBuilder legend = new StringBuilder();
        int y = Frame.BOTTOM + 42;
        int x = Frame.LEFT;
        legend.append(
                Svg.text(Frame.text(x), Frame.text(y), "start", SENT_COLOUR, "-- requests sent, without retries"));
        for (RunReport report : reports) {
            x += 260;
            legend.append(Svg.text(
                    Frame.text(x),
                    Frame.text(y),
                    "start",
                    colour(report),
                    "— goodput, " + report.played().policy()));
        }
        return legend.toString();
    }

    private String title() {
        RunParameters played = reports.getFirst().played();
        String text = "Goodput of whole requests per second: site %s, scenario %s, seed %d"
                .formatted(played.site(), played.scenario(), played.seed());
        return Svg.text(Frame.text(Frame.LEFT), Frame.text(Frame.TOP - 20), "start", OTHER_COLOUR, text);
    }

    private static String colour(RunReport report) {
        return COLOURS.getOrDefault(report.played().policy(), OTHER_COLOUR);
    }

    private static double highest(Series series, List<Integer> counts) {
        return IntStream.range(0, counts.size())
                .mapToDouble(bucket -> rate(series, counts, bucket))
                .max()
                .orElse(0);
    }

    private static double rate(Series series, List<Integer> counts, int bucket) {
        int from = Math.max(0, bucket - SMOOTHED_BUCKETS / 2);
        int until = Math.min(counts.size(), from + SMOOTHED_BUCKETS);
        double mean = counts.subList(from, until).stream()
                .mapToInt(Integer::intValue)
                .average()
                .orElse(0);
        return mean / series.bucketSeconds();
    }
}
