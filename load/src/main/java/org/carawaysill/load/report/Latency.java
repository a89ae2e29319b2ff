package org.carawaysill.load.report;

import org.HdrHistogram.Histogram;

/**
 * Latencies of a set of requests in milliseconds, counted from the intended sending time.
 *
 * <p>Immutable and thread safe.
 *
 * @param count the number of requests
 * @param p50 the median
 * @param p90 the 90th percentile
 * @param p99 the 99th percentile
 * @param max the maximum
 */
public record Latency(long count, double p50, double p90, double p99, double max) {

    private static final double MICROSECONDS_PER_MILLISECOND = 1000.0;

    /**
     * Returns the percentiles of a histogram.
     *
     * @param histogram latencies in microseconds
     * @return the percentiles
     */
    public static Latency of(Histogram histogram) {
        return new Latency(
                histogram.getTotalCount(),
                milliseconds(histogram.getValueAtPercentile(50)),
                milliseconds(histogram.getValueAtPercentile(90)),
                milliseconds(histogram.getValueAtPercentile(99)),
                milliseconds(histogram.getMaxValue()));
    }

    private static double milliseconds(long microseconds) {
        return microseconds / MICROSECONDS_PER_MILLISECOND;
    }
}
