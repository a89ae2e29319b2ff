package org.carawaysill.policy.fleet.entry;

/**
 * Requests that are admitted alike: of one route, and of organisations of one rank.
 *
 * <p>Immutable and thread safe.
 *
 * @param route the route's name
 * @param organisationRank the rank of the organisations, 0 where no keys are checked
 */
public record DemandKey(String route, int organisationRank) {}
