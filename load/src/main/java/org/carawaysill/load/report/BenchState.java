package org.carawaysill.load.report;

/**
 * How far the machine allows the figures of a run to be believed.
 *
 * <p>Immutable and thread safe.
 *
 * @param sentLateMillisecondsP99 by how much the bench itself was late, at the 99th percentile of the triggers' requests
 * @param processorsBusyMax the busy share of the machine's processors in its busiest second of the triggers
 * @param processorsBusyMean the same on average
 */
public record BenchState(double sentLateMillisecondsP99, double processorsBusyMax, double processorsBusyMean) {}
