package org.carawaysill.policy.fleet.route;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.carawaysill.model.fleet.Route;

/**
 * Finds the route of a request: of the routes of its host, the one with the longest matching prefix.
 *
 * <p>A lookup takes one step for each slash of the path, however many routes there are. Immutable and thread safe.
 */
public final class RouteTable {

    private final Map<String, Map<String, Route>> byHost = new HashMap<>();

    /**
     * Indexes routes; of two with the same host and prefix, the first one is used.
     *
     * @param routes the routes
     */
    public RouteTable(List<Route> routes) {
        for (Route route : routes) {
            byHost.computeIfAbsent(normalized(route.host()), _ -> new HashMap<>())
                    .putIfAbsent(route.prefix(), route);
        }
    }

    /**
     * Finds a route.
     *
     * @param host the host of the request, with or without a port
     * @param path the request's path; a query is ignored
     * @return the route, empty if none matches
     */
    public Optional<Route> find(String host, String path) {
        Map<String, Route> byPrefix = byHost.get(normalized(withoutPort(host)));
        if (byPrefix == null) {
            return Optional.empty();
        }
        int query = path.indexOf('?');
        int end = (query < 0 ? path.length() : query) - 1;
        for (int slash = path.lastIndexOf('/', end); slash >= 0; slash = path.lastIndexOf('/', slash - 1)) {
            Route route = byPrefix.get(path.substring(0, slash + 1));
            if (route != null) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    private static String withoutPort(String host) {
        int colon = host.lastIndexOf(':');
        return colon > host.lastIndexOf(']') ? host.substring(0, colon) : host;
    }

    private static String normalized(String host) {
        return host.toLowerCase(Locale.ROOT);
    }
}
