package org.carawaysill.load.schedule;

import org.carawaysill.load.site.LoadOperation;

/**
 * A scheduled request.
 *
 * <p>Immutable and thread safe.
 *
 * @param number its index in the run, from 0
 * @param atNanos the intended sending time, in nanoseconds from the run's start
 * @param operation the operation
 * @param seed the seed of its client's random choices
 */
public record Arrival(int number, long atNanos, LoadOperation operation, long seed) {}
