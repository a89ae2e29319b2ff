package org.carawaysill.policy.fleet.placing;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * The usual slot time of each route at a copy of usual speed, as this node has measured.
 *
 * <p>A measurement counts with a bounded weight, and within bounds around what is known. Not thread safe: owned by the
 * policy.
 */
public final class UsualTimes {

    private static final double WEIGHT = 0.05;

    /** The most by which a measurement may exceed what is known and count in full. */
    private static final double MAXIMUM_MULTIPLE = 5;

    private final Map<String, Usual> byRoute = new HashMap<>();

    private static final class Usual {

        private double seconds;
        private int count;
    }

    /**
     * Takes in a run.
     *
     * @param route the route's name
     * @param seconds the slot time
     * @param slowness how slow the copy is
     */
    public void measure(String route, double seconds, double slowness) {
        if (!(seconds > 0) || seconds > CopyEstimate.MAXIMUM_SECONDS) {
            return;
        }
        Usual usual = byRoute.computeIfAbsent(route, _ -> new Usual());
        double scaled = seconds / slowness;
        double bounded = usual.count == 0 ? scaled : Math.min(scaled, MAXIMUM_MULTIPLE * usual.seconds);
        usual.count = Math.min(usual.count + 1, (int) (1 / WEIGHT));
        usual.seconds += (bounded - usual.seconds) / usual.count;
    }

    /**
     * Returns the usual slot time of a route.
     *
     * @param route the route's name
     * @return seconds, 0 while unknown
     */
    public double usual(String route) {
        Usual usual = byRoute.get(route);
        return usual == null ? 0 : usual.seconds;
    }

    /**
     * Removes the routes that are no longer published.
     *
     * @param routes the published routes
     */
    public void retain(Collection<String> routes) {
        byRoute.keySet().retainAll(routes);
    }
}
