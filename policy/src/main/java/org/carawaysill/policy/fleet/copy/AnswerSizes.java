package org.carawaysill.policy.fleet.copy;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * The usual size of the answers on each route, as this node has measured.
 *
 * <p>Not thread safe: owned by the policy.
 */
public final class AnswerSizes {

    /** The weight of one more answer in the moving average: about the last ten count. */
    private static final double ANSWER_WEIGHT = 0.1;

    private final Map<String, Double> usual = new HashMap<>();

    /**
     * Adds an answer to the average of its route.
     *
     * @param route the route's name
     * @param bytes the length of its body
     */
    public void answered(String route, int bytes) {
        usual.merge(route, (double) bytes, (known, _) -> known + ANSWER_WEIGHT * (bytes - known));
    }

    /**
     * Returns the usual size of an answer on a route.
     *
     * @param route the route's name
     * @return bytes, 0 while unknown
     */
    public double usual(String route) {
        return usual.getOrDefault(route, 0.0);
    }

    /**
     * Removes the routes that are no longer published.
     *
     * @param routes the published routes
     */
    public void retain(Collection<String> routes) {
        usual.keySet().retainAll(routes);
    }
}
