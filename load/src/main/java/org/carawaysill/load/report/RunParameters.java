package org.carawaysill.load.report;

/**
 * The parameters of a run.
 *
 * <p>Immutable and thread safe.
 *
 * @param policy the policy under test
 * @param site the site
 * @param scenario the scenario
 * @param seed the seed of all random draws
 * @param seconds the run's length
 */
public record RunParameters(String policy, String site, String scenario, long seed, int seconds) {}
