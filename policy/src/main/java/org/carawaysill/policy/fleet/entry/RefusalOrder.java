package org.carawaysill.policy.fleet.entry;

/**
 * The order in which requests are refused, encoded as one number: first by the rank of the organisation, then by the
 * rank of the route.
 *
 * <p>Invariant: a request of a lower number is refused later. Stateless and thread safe.
 */
public final class RefusalOrder {

    /** The greatest rank of a route that is distinguished; greater ones count as this one. */
    private static final int MAX_ROUTE_RANK = 1_000_000;

    private static final int ROUTE_RANKS = MAX_ROUTE_RANK + 1;

    private RefusalOrder() {}

    /**
     * Returns the position in the order.
     *
     * @param organisationRank 0 to {@link org.carawaysill.model.fleet.Organisation#MAX_RANK}
     * @param routeRank 0 or more
     * @return the position, 0 or more
     */
    public static int rank(int organisationRank, int routeRank) {
        return organisationRank * ROUTE_RANKS + Math.min(routeRank, MAX_ROUTE_RANK);
    }

    /**
     * Returns the rank of the organisation.
     *
     * @param rank the position in the order
     * @return the organisation's rank
     */
    public static int organisationRank(int rank) {
        return rank / ROUTE_RANKS;
    }
}
