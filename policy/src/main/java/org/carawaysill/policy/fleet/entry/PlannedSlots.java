package org.carawaysill.policy.fleet.entry;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;
import org.carawaysill.model.identity.ServiceName;

/**
 * How many slots of each service are planned for, led by how many of them are in use.
 *
 * <p>A plan from learned costs errs where the costs are too high: they were learned while requests waited, or most requests
 * now fail before they take their slots. Requests are then kept out while slots stand idle, and nothing in the costs shows
 * it. So the plan for a service that rejects requests and has idle slots grows, and falls back as soon as its slots are
 * in use. Under a deep service that sheds half of its calls, this serves 0.43 of its own callers in place of 0.32 (seeds 1
 * to 6 of the quote site in virtual time, twice the usual load). Letting the plan fall below {@link #PLANNED_PART} where
 * requests wait was tried as well and served less, since it follows too late both ways.
 *
 * <p>Not thread safe: owned by the policy.
 */
final class PlannedSlots {

    /**
     * The part of a service's slots that is planned for. The rest takes up that requests come in clumps: queues in front
     * of pooled slots grow without bound near all of them. At 0.85 and 0.95, less is served in virtual time at 2.3 times
     * the usual load.
     */
    private static final double PLANNED_PART = 0.9;

    /** A service with fewer of its slots in use could do more. */
    private static final double IDLE_BELOW = 0.85;

    /** At twice the costs that are right, with some slots left over. */
    private static final double MOST_GROWTH = 3;

    /** How fast the plan falls back with each report of the nodes while all slots are in use. */
    private static final double FALL = 0.8;

    private final Map<ServiceName, Double> growth = new HashMap<>();

    /**
     * Receives what the copies are doing.
     *
     * @param loads the loads, by service
     * @param keepsOut tells whether the plan rejects requests for a service's sake
     */
    void follow(Map<ServiceName, ServiceLoad> loads, Predicate<ServiceName> keepsOut) {
        growth.keySet().retainAll(loads.keySet());
        loads.forEach((service, load) -> {
            double known = growth.getOrDefault(service, 1.0);
            growth.put(service, Math.clamp(known * change(load, keepsOut.test(service)), 1, MOST_GROWTH));
        });
    }

    private static double change(ServiceLoad load, boolean keepsOut) {
        double use = (double) (load.running() + load.queued()) / Math.max(1, load.slots());
        if (use > PLANNED_PART) {
            return FALL;
        }
        if (keepsOut) {
            return 1 + Math.max(0, IDLE_BELOW - use);
        }
        return use < IDLE_BELOW ? FALL : 1;
    }

    double of(ServiceName service, ServiceLoad load) {
        return PLANNED_PART * growth.getOrDefault(service, 1.0) * load.slots();
    }
}
