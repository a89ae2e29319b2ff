package org.carawaysill.load.report;

/**
 * Two runs of the same load, one under each policy.
 *
 * <p>Immutable and thread safe.
 *
 * @param baseline plain forwarding with fixed retries at each hop
 * @param carawaysill the policy of this project
 */
public record Comparison(RunReport baseline, RunReport carawaysill) {}
