package org.carawaysill.policy.fleet.copy;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * How large the answers on each route usually are, as this node has seen.
 *
 * <p>Not thread safe: owned by the policy.
 */
public final class AnswerSizes {

    /** The weight of one more answer: the last ten or so count. */
    private static final double ANSWER_WEIGHT = 0.1;

    private final Map<String, Double> usual = new HashMap<>();

    /**
     * Notes an answer.
     *
     * @param route its route
     * @param bytes the length of its body
     */
    public void answered(String route, int bytes) {
        usual.merge(route, (double) bytes, (known, _) -> known + ANSWER_WEIGHT * (bytes - known));
    }

    /**
     * Returns how large an answer is likely to be.
     *
     * @param route its route
     * @return bytes, 0 where none is known
     */
    public double usual(String route) {
        return usual.getOrDefault(route, 0.0);
    }

    /**
     * Forgets routes that are no longer published.
     *
     * @param routes the routes that are
     */
    public void retain(Collection<String> routes) {
        usual.keySet().retainAll(routes);
    }
}
