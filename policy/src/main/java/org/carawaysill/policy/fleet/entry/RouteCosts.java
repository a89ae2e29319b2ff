package org.carawaysill.policy.fleet.entry;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.policy.fleet.summary.RouteSums;
import org.carawaysill.policy.message.PeerMessage.RouteCost;
import org.carawaysill.policy.message.PeerMessage.SlotTime;

/**
 * Estimates what one request of a route costs at each service, in slot seconds.
 *
 * <p>Each answer carries the slot time that it took, here and at all deeper services. The times of completed requests
 * are averaged; those of failed ones can only raise an estimate that is too low. Dividing the slots in use by the
 * completed requests instead would make a route look more expensive the more of its requests fail, and so refuse the
 * most important first when an overload begins. Not thread safe: owned by the policy.
 */
final class RouteCosts {

    /**
     * The weight of one more request in the average: about the last five count. Each of many nodes sees few requests of
     * a route, and where copies vanish or slow down, the new cost must be known within a second or two; the average
     * over all nodes evens out the scatter of each node's few samples. With the last twenty, 0.88 instead of 0.90 of
     * the requests are served within their target time at 2.3 times the usual load in virtual time.
     */
    private static final float REQUEST_WEIGHT = 0.2f;

    /** Less than any request takes: a cost that has decayed below this is removed. */
    private static final float NEGLIGIBLE_SECONDS = 1e-5f;

    private final Map<String, Map<ServiceName, Float>> ownCosts = new HashMap<>();
    private final Map<String, Map<ServiceName, Double>> fleetCosts = new HashMap<>();

    /** Adds the cost of a request that completed. */
    void addCompleted(String route, List<SlotTime> times) {
        Map<ServiceName, Float> known = known(route);
        Map<ServiceName, Float> measured = sums(times);
        known.replaceAll((service, cost) -> cost + REQUEST_WEIGHT * (measured.getOrDefault(service, 0f) - cost));
        measured.forEach(known::putIfAbsent);
        known.values().removeIf(cost -> cost < NEGLIGIBLE_SECONDS);
    }

    /**
     * Adds the cost of a request that failed midway: what it took so far is a lower bound of a complete request's cost.
     *
     * <p>Guards against an overload whose cause stays unknown, which shows as a service whose queue is full for seconds
     * after all nodes were restarted, while nothing is refused at the entry: if no request completes, completed ones
     * alone never reveal the cost.
     */
    void addMinimum(String route, List<SlotTime> times) {
        Map<ServiceName, Float> known = known(route);
        sums(times)
                .forEach((service, cost) -> known.merge(
                        service, cost, (before, least) -> before + REQUEST_WEIGHT * Math.max(0, least - before)));
    }

    private Map<ServiceName, Float> known(String route) {
        return ownCosts.computeIfAbsent(route, _ -> new HashMap<>());
    }

    private static Map<ServiceName, Float> sums(List<SlotTime> times) {
        Map<ServiceName, Float> sums = new HashMap<>();
        times.forEach(time -> sums.merge(time.service(), time.seconds(), Float::sum));
        return sums;
    }

    /** Returns the costs that this node has measured, to be sent to other nodes. */
    List<RouteCost> own() {
        List<RouteCost> costs = new ArrayList<>();
        ownCosts.forEach((route, times) ->
                times.forEach((service, seconds) -> costs.add(new RouteCost(route, service, seconds))));
        return costs;
    }

    /**
     * Takes in the costs that all nodes have measured. For a route whose cost no node knows now, the previous estimate
     * stays; for any other route, the new costs replace it entirely.
     *
     * <p>Guards against a route that is rejected forever because it once needed a service that has no copies any more,
     * for example after a configuration change that sends its calls elsewhere.
     */
    void average(RouteSums sums) {
        sums.forEachCost(fleetCosts::put);
    }

    Map<ServiceName, Double> of(String route) {
        return fleetCosts.getOrDefault(route, Map.of());
    }

    /** Removes the routes that are no longer published. */
    void retain(Collection<String> routes) {
        ownCosts.keySet().retainAll(routes);
        fleetCosts.keySet().retainAll(routes);
    }
}
