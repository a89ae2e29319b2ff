package org.carawaysill.load.latency;

import java.util.Locale;
import org.carawaysill.load.report.Latency;

/**
 * The report of a latency measurement.
 *
 * <p>Immutable and thread safe.
 *
 * @param ratePerSecond requests per second
 * @param directMilliseconds the latencies of the direct path
 * @param throughMilliseconds the latencies of the path through the nodes
 * @param addedP50Milliseconds the difference of the medians
 * @param addedP99Milliseconds the difference of the 99th percentiles
 * @param failures the number of requests that were not answered with success
 */
public record LatencyReport(
        double ratePerSecond,
        Latency directMilliseconds,
        Latency throughMilliseconds,
        double addedP50Milliseconds,
        double addedP99Milliseconds,
        int failures) {

    static LatencyReport of(double ratePerSecond, Latency direct, Latency through, int failures) {
        return new LatencyReport(
                ratePerSecond, direct, through, through.p50() - direct.p50(), through.p99() - direct.p99(), failures);
    }

    /**
     * Returns the figures as text.
     *
     * @return one line, without a line end
     */
    public String text() {
        return String.format(
                Locale.ROOT,
                "%6.0f/s  direct p50 %6.3f p99 %6.3f ms (%d)  through p50 %6.3f p99 %6.3f ms (%d)"
                        + "  added p50 %6.3f p99 %6.3f ms  failures %d",
                ratePerSecond,
                directMilliseconds.p50(),
                directMilliseconds.p99(),
                directMilliseconds.count(),
                throughMilliseconds.p50(),
                throughMilliseconds.p99(),
                throughMilliseconds.count(),
                addedP50Milliseconds,
                addedP99Milliseconds,
                failures);
    }
}
