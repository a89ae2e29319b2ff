package org.carawaysill.load.latency;

/**
 * What a measurement does.
 *
 * <p>Immutable and thread safe.
 *
 * @param direct the path to a copy
 * @param through the path through nodes to the same copy
 * @param ratePerSecond requests a second
 * @param warmUpSeconds how long to send before anything counts
 * @param seconds how long to measure, both paths together
 * @param seed the seed of the arrivals
 */
public record LatencySettings(
        LatencyPath direct, LatencyPath through, double ratePerSecond, int warmUpSeconds, int seconds, long seed) {}
