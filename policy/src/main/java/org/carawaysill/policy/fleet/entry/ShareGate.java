package org.carawaysill.policy.fleet.entry;

import java.util.HashMap;
import java.util.Map;

/**
 * Admits a share of each route's requests, evenly spaced.
 *
 * <p>Even spacing keeps the admitted load as smooth as the arriving load; an independent random draw for each request
 * would add bunching. Invariant: of any number of requests under one share, the number admitted is within one of that
 * share. Not thread safe: owned by the policy.
 */
public final class ShareGate {

    private final Map<DemandKey, Double> credits = new HashMap<>();

    /**
     * Decides whether the next request is admitted.
     *
     * @param key the request's route, and the rank of its organisation
     * @param share the share that is admitted, 0 to 1
     * @return whether it is admitted
     */
    public boolean admit(DemandKey key, double share) {
        if (share >= 1) {
            return true;
        }
        double credit = credits.getOrDefault(key, 0.5) + share;
        boolean admitted = credit >= 1;
        credits.put(key, admitted ? credit - 1 : credit);
        return admitted;
    }
}
