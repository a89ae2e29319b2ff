package org.carawaysill.load.schedule;

import org.carawaysill.load.site.LoadOperation;

/**
 * One request as it is meant to be sent.
 *
 * <p>Immutable and thread safe.
 *
 * @param number its position in the run, from 0
 * @param atNanos when it is meant to be sent, in nanoseconds from the run's start
 * @param operation what it asks for
 * @param seed the seed of its client's own choices
 */
public record Arrival(int number, long atNanos, LoadOperation operation, long seed) {}
