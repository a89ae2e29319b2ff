package org.carawaysill.policy.fleet.entry;

/**
 * Identifies a class of requests that is admitted at one rate: those of one route from organisations of one rank.
 *
 * <p>Immutable and thread safe.
 *
 * @param route the route's name
 * @param organisationRank the rank of the organisations, 0 where no keys are checked
 */
public record DemandKey(String route, int organisationRank) {}
