package org.carawaysill.load.report;

/**
 * What a run played.
 *
 * <p>Immutable and thread safe.
 *
 * @param policy the policy under test
 * @param site the site
 * @param scenario the scenario
 * @param seed the seed of all draws
 * @param seconds the run's length
 */
public record Played(String policy, String site, String scenario, long seed, int seconds) {}
