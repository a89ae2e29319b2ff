package org.carawaysill.policy.fleet;

import java.util.HashSet;
import java.util.Set;

/**
 * The routes on which copies call, as seen here.
 *
 * <p>A call whose parent is not known, since this node was started again while its copy went on, is not taken for a
 * caller's request: it belongs to one that was admitted. Not thread safe: owned by the policy.
 */
final class InnerRoutes {

    /** Bounds the memory where operators rename routes all day. */
    private static final int MOST = 4096;

    private final Set<String> names = new HashSet<>();

    void called(String route) {
        if (names.size() < MOST) {
            names.add(route);
        }
    }

    boolean contains(String route) {
        return names.contains(route);
    }
}
