package org.carawaysill.standin.upstream;

import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Draws the service time of each request from a lognormal distribution with a small variance; longer while the copy is
 * cold.
 *
 * <p>Invariant: the mean over many draws of a warm copy is the requested mean. Not thread safe.
 */
final class ServiceTime {

    /** Standard deviation of the logarithm; most service times are within a quarter of the mean. */
    private static final double SIGMA = 0.2;

    /** Factor on the service time right after a start. */
    private static final double COLD_FACTOR = 4.0;

    private final RandomGenerator random;
    private final long coldStartNanos;
    private long startNanos;

    /**
     * Creates the distribution of a copy that starts now.
     *
     * @param random the source of randomness
     * @param coldStartMilliseconds how long the copy warms up
     * @param nowNanos the monotonic time
     */
    ServiceTime(RandomGenerator random, long coldStartMilliseconds, long nowNanos) {
        this.random = random;
        this.coldStartNanos = TimeUnit.MILLISECONDS.toNanos(coldStartMilliseconds);
        this.startNanos = nowNanos;
    }

    /**
     * Marks the copy as cold again.
     *
     * @param nowNanos the monotonic time
     */
    void restart(long nowNanos) {
        startNanos = nowNanos;
    }

    /**
     * Draws the service time of one request.
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
        double coldShare = 1.0 - (double) warmNanos / coldStartNanos;
        return 1.0 + (COLD_FACTOR - 1.0) * coldShare;
    }
}
