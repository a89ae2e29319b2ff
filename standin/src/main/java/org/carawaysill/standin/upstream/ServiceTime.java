package org.carawaysill.standin.upstream;

import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Draws how long each request's own work takes: lognormal with a small variance, longer while the copy is cold.
 *
 * <p>Invariant: the mean over many draws of a warm copy is the mean asked for. Not thread safe.
 */
final class ServiceTime {

    /** The standard deviation of the logarithm; the work of most requests is within a quarter of the mean. */
    private static final double SIGMA = 0.2;

    /** How much longer the work takes right after a start. */
    private static final double COLD_FACTOR = 4.0;

    private final RandomGenerator random;
    private final long coldStartNanos;
    private long startNanos;

    /**
     * Makes the source of work.
     *
     * @param random where the draws come from
     * @param coldStartMilliseconds how long the copy warms up
     * @param nowNanos the monotonic time
     */
    ServiceTime(RandomGenerator random, long coldStartMilliseconds, long nowNanos) {
        this.random = random;
        this.coldStartNanos = TimeUnit.MILLISECONDS.toNanos(coldStartMilliseconds);
        this.startNanos = nowNanos;
    }

    /**
     * Makes the copy cold again.
     *
     * @param nowNanos the monotonic time
     */
    void restart(long nowNanos) {
        startNanos = nowNanos;
    }

    /**
     * Draws the work of one request.
     *
     * @param nowNanos the monotonic time
     * @param meanMilliseconds the mean of a warm copy
     * @return the time in milliseconds
     */
    double draw(long nowNanos, double meanMilliseconds) {
        double factor = Math.exp(SIGMA * random.nextGaussian() - SIGMA * SIGMA / 2);
        return meanMilliseconds * factor * coldFactor(nowNanos);
    }

    private double coldFactor(long nowNanos) {
        long warmNanos = nowNanos - startNanos;
        if (warmNanos >= coldStartNanos) {
            return 1.0;
        }
        double left = 1.0 - (double) warmNanos / coldStartNanos;
        return 1.0 + (COLD_FACTOR - 1.0) * left;
    }
}
