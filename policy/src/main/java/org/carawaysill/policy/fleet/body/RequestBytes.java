package org.carawaysill.policy.fleet.body;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.carawaysill.model.fleet.Route;
import org.carawaysill.model.request.Body;

/**
 * The bytes that a request moves between its entry and its copy: the usual answer of its route, as this node has
 * measured, and its own body if it is an upload.
 *
 * <p>Not thread safe: owned by the policy.
 */
public final class RequestBytes {

    /** Up to this size a body counts; without a bound, a very large one would wait at a near copy for any time. */
    static final int MAXIMUM_BODY_BYTES = 32 * 1024;

    /** The weight of one more answer in the moving average: about the last ten count. */
    private static final double ANSWER_WEIGHT = 0.1;

    private final LargeBodies largeBodies;
    private final Map<String, Double> usualAnswers = new HashMap<>();

    /**
     * Creates a measure that knows no answers.
     *
     * @param largeBodies decides whether bodies count
     */
    public RequestBytes(LargeBodies largeBodies) {
        this.largeBodies = largeBodies;
    }

    /**
     * Adds an answer to the average of its route.
     *
     * @param route the route's name
     * @param bytes the length of its body
     */
    public void answered(String route, int bytes) {
        usualAnswers.merge(route, (double) bytes, (known, _) -> known + ANSWER_WEIGHT * (bytes - known));
    }

    /**
     * Returns the bytes that a request moves.
     *
     * @param route its route
     * @param body its body
     * @return bytes; the answer counts nothing while its size is unknown
     */
    public double of(Route route, Body body) {
        double answer = usualAnswers.getOrDefault(route.name(), 0.0);
        return largeBodies.countsBody(route) ? answer + Math.min(body.length(), MAXIMUM_BODY_BYTES) : answer;
    }

    /**
     * Removes the routes that are no longer published.
     *
     * @param routes the published routes
     */
    public void retain(Collection<String> routes) {
        usualAnswers.keySet().retainAll(routes);
    }
}
