package org.carawaysill.policy.fleet.route;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.carawaysill.model.fleet.Destination;
import org.carawaysill.model.fleet.Route;
import org.carawaysill.model.identity.ServiceName;

/**
 * Distributes the requests of a route to its destinations in proportion to their weights.
 *
 * <p>Each destination gains its weight as credit with each request, and the one with the most credit receives the
 * request and pays the sum of all weights. So after any number of requests each destination is within one request of
 * its share, while independent random draws would be off by the square root of the number. Invariant: the credits of a
 * route sum up to 0. Not thread safe: owned by the policy.
 */
public final class SplitShares {

    private final Map<String, Credits> byRoute = new HashMap<>();

    /**
     * Chooses the destination of the next request.
     *
     * @param route the route
     * @return the service that receives it
     */
    public ServiceName next(Route route) {
        if (route.destinations().size() == 1) {
            return route.destinations().getFirst().service();
        }
        Credits credits = byRoute.get(route.name());
        if (credits == null || !credits.destinations.equals(route.destinations())) {
            credits = new Credits(route.destinations());
            byRoute.put(route.name(), credits);
        }
        return credits.next();
    }

    private static final class Credits {

        private final List<Destination> destinations;
        private final long[] credit;
        private final long total;

        Credits(List<Destination> destinations) {
            this.destinations = destinations;
            credit = new long[destinations.size()];
            total = destinations.stream().mapToLong(Destination::weight).sum();
        }

        ServiceName next() {
            int chosen = 0;
            for (int i = 0; i < credit.length; i++) {
                credit[i] += destinations.get(i).weight();
                if (credit[i] > credit[chosen]) {
                    chosen = i;
                }
            }
            credit[chosen] -= total;
            return destinations.get(chosen).service();
        }
    }
}
