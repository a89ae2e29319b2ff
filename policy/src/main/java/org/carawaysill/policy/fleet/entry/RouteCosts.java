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
 * What one request of a route costs at each service, in seconds of a slot.
 *
 * <p>Each answer brings back the slots' time that it took, here and at all deeper services. What whole requests took is
 * averaged; failed ones only ever raise a figure that is too low. The slots in use divided by what completes would make a
 * route the dearer the more of it fails, and refuse the most important first when an overload begins. Not thread safe: owned
 * by the policy.
 */
final class RouteCosts {

    /**
     * The weight of one more request: the last five or so count. Each of many nodes sees few requests of a route, and where
     * copies vanish or slow down, the cost must be known anew within a second or two; the average over all nodes evens out
     * what the few requests of each scatter. With the last twenty, 0.88 in place of 0.90 is served within its aim at 2.3
     * times the usual load in virtual time.
     */
    private static final float REQUEST_WEIGHT = 0.2f;

    /** Less than any work takes: what is left of a cost that no request has had for long. */
    private static final float NEGLIGIBLE_SECONDS = 1e-5f;

    private final Map<String, Map<ServiceName, Float>> own = new HashMap<>();
    private final Map<String, Map<ServiceName, Double>> ofFleet = new HashMap<>();

    /** Learns from a whole request. */
    void learn(String route, List<SlotTime> times) {
        Map<ServiceName, Float> known = known(route);
        Map<ServiceName, Float> seen = sums(times);
        known.replaceAll((service, cost) -> cost + REQUEST_WEIGHT * (seen.getOrDefault(service, 0f) - cost));
        seen.forEach(known::putIfAbsent);
        known.values().removeIf(cost -> cost < NEGLIGIBLE_SECONDS);
    }

    /**
     * Learns from a request that failed on its way: what it took so far is the least that a whole one costs.
     *
     * <p>Guards against an overload that keeps its cause unknown, which shows as a service whose queue is full for seconds
     * after all nodes started anew, while nothing is refused at the entry: no request gets through it whole, so that none
     * tells what it costs.
     */
    void learnLeast(String route, List<SlotTime> times) {
        Map<ServiceName, Float> known = known(route);
        sums(times)
                .forEach((service, cost) -> known.merge(
                        service, cost, (before, least) -> before + REQUEST_WEIGHT * Math.max(0, least - before)));
    }

    private Map<ServiceName, Float> known(String route) {
        return own.computeIfAbsent(route, _ -> new HashMap<>());
    }

    private static Map<ServiceName, Float> sums(List<SlotTime> times) {
        Map<ServiceName, Float> sums = new HashMap<>();
        times.forEach(time -> sums.merge(time.service(), time.seconds(), Float::sum));
        return sums;
    }

    /** Returns what this node has learned, to be told to others. */
    List<RouteCost> own() {
        List<RouteCost> costs = new ArrayList<>();
        own.forEach((route, times) ->
                times.forEach((service, seconds) -> costs.add(new RouteCost(route, service, seconds))));
        return costs;
    }

    /**
     * Receives what all nodes have learned. A route of which nobody knows anything now keeps what was known before; of one that
     * somebody knows, only what is known now counts.
     *
     * <p>Guards against a route that is rejected for good, since it once needed a service that has no copies any more, as after
     * a configuration that sends its calls elsewhere.
     */
    void average(RouteSums sums) {
        sums.forEachCost(ofFleet::put);
    }

    Map<ServiceName, Double> of(String route) {
        return ofFleet.getOrDefault(route, Map.of());
    }

    /** Forgets routes that are no longer published. */
    void retain(Collection<String> routes) {
        own.keySet().retainAll(routes);
        ofFleet.keySet().retainAll(routes);
    }
}
