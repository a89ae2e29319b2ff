package org.carawaysill.policy.fleet.entry;

/**
 * The order in which requests are refused, as one number: first by the rank of the organisation, then by that of the route.
 *
 * <p>Invariant: a request of a lesser number is refused later. Stateless and thread safe.
 */
public final class RefusalOrder {

    /** The greatest rank of a route that is told apart from greater ones. */
    private static final int MAX_ROUTE_RANK = 1_000_000;

    private static final int ROUTE_RANKS = MAX_ROUTE_RANK + 1;

    private RefusalOrder() {}

    /**
     * Returns the place in the order.
     *
     * @param organisationRank 0 to {@link org.carawaysill.model.fleet.Organisation#MAX_RANK}
     * @param routeRank 0 or more
     * @return the place, 0 or more
     */
    public static int rank(int organisationRank, int routeRank) {
        return organisationRank * ROUTE_RANKS + Math.min(routeRank, MAX_ROUTE_RANK);
    }

    /**
     * Returns the rank of the organisation.
     *
     * @param rank the place in the order
     * @return the organisation's rank
     */
    public static int organisationRank(int rank) {
        return rank / ROUTE_RANKS;
    }
}
