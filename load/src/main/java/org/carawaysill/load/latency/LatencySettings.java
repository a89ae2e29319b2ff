package org.carawaysill.load.latency;

/**
 * Settings of a latency measurement.
 *
 * <p>Immutable and thread safe.
 *
 * @param direct the path to a copy
 * @param through the path through nodes to the same copy
 * @param ratePerSecond requests per second
 * @param warmUpSeconds how long to send requests before measuring
 * @param seconds how long to measure, for both paths together
 * @param seed the seed of the arrivals
 */
public record LatencySettings(
        LatencyPath direct, LatencyPath through, double ratePerSecond, int warmUpSeconds, int seconds, long seed) {}
