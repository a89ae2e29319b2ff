package org.carawaysill.policy.fleet.entry;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;
import org.carawaysill.model.identity.ServiceName;

/**
 * Adjusts how many slots of each service a plan may fill, by how many of them are in use.
 *
 * <p>A plan from measured costs admits too little where the costs are too high: they were measured while requests
 * waited, or most requests now fail before they use their slots. Requests are then refused while slots are idle, and
 * the costs do not show it. So the planned slots of a service that rejects requests and has idle slots grow, and fall
 * back as soon as its slots are in use. Under a deep service that sheds half of its calls, this serves 0.43 of its own
 * callers instead of 0.32 (seeds 1 to 6 of the quote site in virtual time, at twice the usual load). Letting the
 * planned slots fall below {@link #PLANNED_PART} where requests wait was tried as well and served less, since it reacts
 * too late in both directions.
 *
 * <p>Not thread safe: owned by the policy.
 */
final class PlannedSlots {

    /**
     * The part of a service's slots that is planned for. The rest absorbs random bunching of arrivals: queues in front
     * of pooled slots grow without bound as the load approaches all slots. At 0.85 and at 0.95, less is served in
     * virtual time at 2.3 times the usual load.
     */
    private static final double PLANNED_PART = 0.9;

    /**
     * The part that is planned for of the slots at copies that limit their requests per second. They start requests at
     * even intervals, so that less is needed to absorb bunching; if all is planned for, their queues stay full.
     */
    private static final double PLANNED_PACED_PART = 0.98;

    /** A service that uses less than this part of its slots could do more. */
    private static final double IDLE_BELOW = 0.85;

    /** The bound of the growth factor: enough for costs that were measured at twice their true value, with a margin. */
    private static final double MAXIMUM_GROWTH = 3;

    /** The factor by which the growth falls with each round of node reports while all slots are in use. */
    private static final double DECAY = 0.8;

    private final Map<ServiceName, Double> growth = new HashMap<>();

    /**
     * Updates the growth factors.
     *
     * @param loads the loads of the copies, by service
     * @param isRejecting tells whether the plan rejects requests because a service is full
     */
    void update(Map<ServiceName, ServiceLoad> loads, Predicate<ServiceName> isRejecting) {
        growth.keySet().retainAll(loads.keySet());
        loads.forEach((service, load) -> {
            double factor = growth.getOrDefault(service, 1.0);
            growth.put(service, Math.clamp(factor * factorChange(load, isRejecting.test(service)), 1, MAXIMUM_GROWTH));
        });
    }

    private static double factorChange(ServiceLoad load, boolean isRejecting) {
        double use = load.slots() > 0 ? (load.running() + load.queued()) / load.slots() : 1;
        if (use > PLANNED_PART) {
            return DECAY;
        }
        if (isRejecting) {
            return 1 + Math.max(0, IDLE_BELOW - use);
        }
        return use < IDLE_BELOW ? DECAY : 1;
    }

    double of(ServiceName service, ServiceLoad load) {
        double planned = PLANNED_PART * (load.slots() - load.pacedSlots()) + PLANNED_PACED_PART * load.pacedSlots();
        return growth.getOrDefault(service, 1.0) * planned;
    }
}
