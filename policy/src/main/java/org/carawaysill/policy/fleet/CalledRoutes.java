package org.carawaysill.policy.fleet;

import java.util.HashSet;
import java.util.Set;

/**
 * The routes on which copies have made calls through this node.
 *
 * <p>A call whose parent request is unknown, because this node restarted while its copy kept running, does not count as
 * a caller's request: it belongs to a request that was admitted. Not thread safe: owned by the policy.
 */
final class CalledRoutes {

    /** Bounds the memory if operators keep renaming routes. */
    private static final int MAXIMUM_ROUTES = 4096;

    private final Set<String> names = new HashSet<>();

    void add(String route) {
        if (names.size() < MAXIMUM_ROUTES) {
            names.add(route);
        }
    }

    boolean contains(String route) {
        return names.contains(route);
    }
}
