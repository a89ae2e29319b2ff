package org.carawaysill.load.report;

/**
 * The state of the machine during a run, which shows how reliable the run's figures are.
 *
 * <p>Immutable and thread safe.
 *
 * @param sentLateMillisecondsP99 the 99th percentile of the sending delay of the load generator during the triggers
 * @param processorsBusyMax the maximum processor utilisation in one second of the triggers
 * @param processorsBusyMean the mean processor utilisation during the triggers
 */
public record BenchState(double sentLateMillisecondsP99, double processorsBusyMax, double processorsBusyMean) {}
