package org.carawaysill.policy.fleet.route;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.carawaysill.model.fleet.Destination;
import org.carawaysill.model.fleet.Route;
import org.carawaysill.model.identity.ServiceName;

/**
 * Deals the requests of a route to its destinations by weight.
 *
 * <p>Each destination is owed its weight at each request, and the one that is owed most gets it. So after any number of
 * requests each destination is within one request of its part, where drawing at random would be off by the root of the
 * number. Invariant: the debts of a route sum up to 0. Not thread safe: owned by the policy.
 */
public final class SplitShares {

    private final Map<String, Debts> byRoute = new HashMap<>();

    /**
     * Chooses the destination of the next request.
     *
     * @param route the route
     * @return the service that gets it
     */
    public ServiceName next(Route route) {
        if (route.destinations().size() == 1) {
            return route.destinations().getFirst().service();
        }
        Debts debts = byRoute.get(route.name());
        if (debts == null || !debts.destinations.equals(route.destinations())) {
            debts = new Debts(route.destinations());
            byRoute.put(route.name(), debts);
        }
        return debts.next();
    }

    private static final class Debts {

        private final List<Destination> destinations;
        private final long[] owed;
        private final long total;

        Debts(List<Destination> destinations) {
            this.destinations = destinations;
            owed = new long[destinations.size()];
            total = destinations.stream().mapToLong(Destination::weight).sum();
        }

        ServiceName next() {
            int chosen = 0;
            for (int i = 0; i < owed.length; i++) {
                owed[i] += destinations.get(i).weight();
                if (owed[i] > owed[chosen]) {
                    chosen = i;
                }
            }
            owed[chosen] -= total;
            return destinations.get(chosen).service();
        }
    }
}
