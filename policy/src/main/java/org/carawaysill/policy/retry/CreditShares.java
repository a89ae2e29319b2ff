package org.carawaysill.policy.retry;

/**
 * Divides a request's retry credits in advance between the entry nodes that its caller may try.
 *
 * <p>Invariant: the shares of all ranks add up to at most the credits. Stateless and thread safe.
 */
public final class CreditShares {

    private CreditShares() {}

    /**
     * Returns a node's share.
     *
     * @param credits the credits that the selectors grant the request
     * @param rank the node's rank for the request over the published roster, from 0
     * @param nodes the size of the roster
     * @return the retries that the node may spend on the request, including retries at deeper services
     */
    public static int share(int credits, int rank, int nodes) {
        boolean hasSecond = nodes > 1 && credits > 1;
        return switch (rank) {
            case 0 -> hasSecond ? credits - 1 : credits;
            case 1 -> hasSecond ? 1 : 0;
            default -> 0;
        };
    }
}
