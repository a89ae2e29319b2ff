package org.carawaysill.policy.fleet.entry;

import java.util.HashMap;
import java.util.Map;

/**
 * Lets a share of each route's requests in, evenly spaced.
 *
 * <p>Spacing them keeps the load that is admitted as even as the load that comes; drawing each at random would add its own
 * clumps. Invariant: of any number of requests under one share, the number let in is within one of that share. Not thread
 * safe: owned by the policy.
 */
public final class ShareGate {

    private final Map<DemandKey, Double> credits = new HashMap<>();

    /**
     * Decides about the next request.
     *
     * @param key its route, and the rank of its organisation
     * @param share the share that is admitted, 0 to 1
     * @return whether it is admitted
     */
    public boolean admit(DemandKey key, double share) {
        if (share >= 1) {
            return true;
        }
        double credit = credits.getOrDefault(key, 0.5) + share;
        boolean in = credit >= 1;
        credits.put(key, in ? credit - 1 : credit);
        return in;
    }
}
