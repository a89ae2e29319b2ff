package org.carawaysill.policy.fleet.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import org.carawaysill.model.fleet.Route;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.policy.fleet.mechanism.Mechanism;
import org.carawaysill.policy.fleet.summary.RouteSums;
import org.carawaysill.policy.message.PeerMessage.RouteCost;
import org.carawaysill.policy.message.PeerMessage.SlotTime;

/**
 * Which share of each route's requests is admitted, so that what is admitted fits every service that it reaches.
 *
 * <p>Refusing a call at the last hop wastes all work done above it: where a request makes a dozen calls in a row, one
 * refused call in ten leaves hardly any whole request. So requests are refused at the entry, before any work, and by what
 * they cost at each service below. All nodes see nearly the same reports and so come to nearly the same plan without
 * talking about it. Invariant: beyond {@link #LEAST_PART} of its slots, a service serves a route only while no route of
 * higher rank that needs it is rejected; where organisations have several ranks, beyond {@link #LEAST_PART_OF_RANKS}.
 * Not thread safe: owned by the policy.
 */
public final class EntryPlan {

    /** What of each route is admitted however much it costs: no kind of request is to be starved. */
    private static final double LEAST_SHARE = 0.1;

    /**
     * The part of a service's slots that is left to the least shares of all routes together. Guards against an overload in
     * which they take all there is: where three of four copies are gone, a tenth of everything offered is more than the
     * last one can do, and the most important requests then get no more than the least important.
     */
    private static final double LEAST_PART = 0.25;

    /**
     * The share of organisations of each rank that is admitted, as a part of the share of all requests. Guards against
     * organisations of the last rank that are hardly served while others of the first rank ask for all there is.
     */
    private static final double LEAST_OF_MEAN = 0.35;

    /** The part of a service's slots that is left to the least shares where organisations have several ranks. */
    private static final double LEAST_PART_OF_RANKS = 0.4;

    private final Set<Mechanism> without;
    private final RouteCosts costs = new RouteCosts();
    private final PlannedSlots slots = new PlannedSlots();
    private SharedRoom room = new SharedRoom();
    private Map<DemandKey, Double> shares = Map.of();
    private Map<DemandKey, Double> offered = Map.of();

    /**
     * Starts without a plan: everything is admitted.
     *
     * @param without what is switched off
     */
    public EntryPlan(Set<Mechanism> without) {
        this.without = without;
    }

    /**
     * Plans anew.
     *
     * @param demand what callers ask of all nodes, and what it costs
     * @param loads what the copies that may get work now are doing, by service; a service that is not there has none
     * @param routes the routes by name
     */
    public void update(RouteSums demand, Map<ServiceName, ServiceLoad> loads, Map<String, Route> routes) {
        costs.average(demand);
        costs.retain(routes.keySet());
        if (without.contains(Mechanism.ENTRY_PLAN)) {
            return;
        }
        SortedMap<Integer, List<PlannedRoute>> byRank = byRank(demand, routes);
        List<PlannedRoute> all = byRank.values().stream().flatMap(List::stream).toList();
        room = room(loads);
        fillLeast(all);
        byRank.values().forEach(equals -> room.fill(equals, 1, 1));
        Map<DemandKey, Double> newShares = new HashMap<>();
        Map<DemandKey, Double> newOffered = new HashMap<>();
        for (PlannedRoute route : all) {
            newShares.put(route.key(), route.share());
            newOffered.put(route.key(), route.offered());
        }
        shares = newShares;
        offered = newOffered;
    }

    private void fillLeast(List<PlannedRoute> all) {
        boolean severalRanks = all.stream()
                        .map(route -> route.key().organisationRank())
                        .distinct()
                        .count()
                > 1;
        if (severalRanks) {
            double least = Math.max(LEAST_SHARE, LEAST_OF_MEAN * meanShare());
            room.fill(all, least, LEAST_PART_OF_RANKS);
        } else {
            room.fill(all, LEAST_SHARE, LEAST_PART);
        }
    }

    /** Returns the share of all requests that the last plan admits. */
    private double meanShare() {
        double asked = 0;
        double admitted = 0;
        for (Map.Entry<DemandKey, Double> each : offered.entrySet()) {
            asked += each.getValue();
            admitted += each.getValue() * share(each.getKey());
        }
        return asked > 0 ? admitted / asked : 1;
    }

    private SortedMap<Integer, List<PlannedRoute>> byRank(RouteSums demand, Map<String, Route> routes) {
        SortedMap<Integer, List<PlannedRoute>> byRank = new TreeMap<>();
        for (DemandKey key : demand.keys()) {
            Route route = routes.get(key.route());
            if (route != null && demand.offered(key) > 0) {
                byRank.computeIfAbsent(RefusalOrder.rank(key.organisationRank(), route.rank()), _ -> new ArrayList<>())
                        .add(new PlannedRoute(key, demand.offered(key), costs.of(key.route())));
            }
        }
        return byRank;
    }

    private SharedRoom room(Map<ServiceName, ServiceLoad> loads) {
        if (!without.contains(Mechanism.IDLE_SLOTS)) {
            slots.follow(loads, room::isFull);
        }
        SharedRoom newRoom = new SharedRoom();
        loads.forEach((service, load) -> newRoom.add(service, slots.of(service, load)));
        return newRoom;
    }

    /**
     * Learns what a whole request cost.
     *
     * @param route its route
     * @param times the slots' time that it took, all its calls included
     */
    public void learn(String route, List<SlotTime> times) {
        costs.learn(route, times);
    }

    /**
     * Learns what a request cost at the least that failed on its way.
     *
     * @param route its route
     * @param times the slots' time that it took until then
     */
    public void learnLeast(String route, List<SlotTime> times) {
        costs.learnLeast(route, times);
    }

    /**
     * Returns what this node has learned, to be told to others.
     *
     * @return the cost of each route at each service
     */
    public List<RouteCost> ownCosts() {
        return costs.own();
    }

    /**
     * Returns which share of a route's requests is admitted.
     *
     * @param key the route, and the rank of the organisations that ask
     * @return 0 to 1
     */
    public double share(DemandKey key) {
        return shares.getOrDefault(key, 1.0);
    }

    /**
     * Returns what is planned for.
     *
     * @return routes, with the ranks of the organisations that ask
     */
    public Set<DemandKey> keys() {
        return shares.keySet();
    }

    /**
     * Returns how much is asked of a route in the whole fleet.
     *
     * @param key the route, and the rank of the organisations that ask
     * @return requests a second
     */
    public double offered(DemandKey key) {
        return offered.getOrDefault(key, 0.0);
    }
}
