package org.carawaysill.policy.fleet.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import org.carawaysill.model.fleet.Route;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.model.request.ShareBound;
import org.carawaysill.policy.fleet.mechanism.Mechanism;
import org.carawaysill.policy.fleet.summary.RouteSums;
import org.carawaysill.policy.message.PeerMessage.RouteCost;
import org.carawaysill.policy.message.PeerMessage.SlotTime;

/**
 * Plans which share of each route's requests is admitted, so that the admitted requests fit the capacity of every
 * service that they reach.
 *
 * <p>Refusing a call deep in the call graph wastes all work done above it: where a request makes a dozen calls in
 * sequence, one refused call in ten leaves hardly any request complete. So requests are refused at the entry, before
 * any work is done, by what they cost at each service below. All nodes receive nearly the same reports, so they compute
 * nearly the same plan without coordination. Invariant: beyond {@link #MINIMUM_PART} of its slots, a service serves a
 * route only while no route of higher rank that needs it is rejected; where organisations have several ranks, beyond
 * {@link #MINIMUM_PART_OF_RANKS}. Not thread safe: owned by the policy.
 */
public final class EntryPlan {

    /** The minimum share that is admitted of each route, whatever it costs, so that none is starved. */
    private static final double MINIMUM_SHARE = 0.1;

    /**
     * The part of a service's slots that the minimum shares of all routes together may use. Guards against an overload
     * in which they use all slots: where three of four copies are gone, a tenth of all requests exceeds the capacity of
     * the last copy, and the most important requests would be admitted no more than the least important.
     */
    private static final double MINIMUM_PART = 0.25;

    /**
     * The minimum share that is admitted of the requests of each rank of organisations, as a part of the share admitted
     * of all requests. Guards against starving organisations of the last rank while others of the first rank ask for
     * all slots.
     */
    private static final double MINIMUM_OF_MEAN = 0.35;

    /** The part of a service's slots that the minimum shares may use where organisations have several ranks. */
    private static final double MINIMUM_PART_OF_RANKS = 0.4;

    private final Set<Mechanism> disabledMechanisms;
    private final RouteCosts costs = new RouteCosts();
    private final PlannedSlots slots = new PlannedSlots();
    private SlotAllocation allocation = new SlotAllocation();
    private final CallerShares callers = new CallerShares();
    private Map<DemandKey, Double> shares = Map.of();
    private Map<DemandKey, Double> ownShares = Map.of();
    private final Set<DemandKey> shared = new HashSet<>();
    private Map<DemandKey, Double> offered = Map.of();

    /**
     * Creates an empty plan, which admits everything.
     *
     * @param disabledMechanisms the mechanisms that are switched off
     */
    public EntryPlan(Set<Mechanism> disabledMechanisms) {
        this.disabledMechanisms = disabledMechanisms;
    }

    /**
     * Computes a new plan.
     *
     * @param demand the requests of callers at all nodes, and their costs
     * @param loads the load of the copies that may receive requests, by service; a service that is absent has no such
     *     copy
     * @param routes the routes, by name
     * @param mixed what is known of services with both short and long work
     */
    public void update(
            RouteSums demand, Map<ServiceName, ServiceLoad> loads, Map<String, Route> routes, MixedWork mixed) {
        costs.average(demand);
        costs.retain(routes.keySet());
        if (disabledMechanisms.contains(Mechanism.ENTRY_PLAN)) {
            return;
        }
        SortedMap<Integer, List<PlannedRoute>> byRank = byRank(demand, routes);
        List<PlannedRoute> all = byRank.values().stream().flatMap(List::stream).toList();
        allocation = allocation(loads);
        fillMinimumShares(all);
        byRank.values().forEach(sameRank -> allocation.fill(sameRank, 1, 1));
        Map<DemandKey, Double> newShares = new HashMap<>();
        Map<DemandKey, Double> newOffered = new HashMap<>();
        for (PlannedRoute route : all) {
            newShares.put(route.key(), route.share());
            newOffered.put(route.key(), route.offered());
        }
        shares = newShares;
        offered = newOffered;
        ownShares = ownShares(all, demand, mixed);
    }

    private Map<DemandKey, Double> ownShares(List<PlannedRoute> all, RouteSums demand, MixedWork mixed) {
        shared.clear();
        if (!mixed.uses(Mechanism.CALLER_SHARES, disabledMechanisms)) {
            return shares;
        }
        Map<DemandKey, Double> own = new HashMap<>(shares);
        for (PlannedRoute route : all) {
            DemandKey key = route.key();
            if (route.share() < 1 && mixed.isUsedBy(route.costs())) {
                shared.add(key);
                double ownRate = mixed.ownRate().applyAsDouble(key);
                own.put(key, callers.share(key, route.share(), route.offered(), demand.callers(key), ownRate));
            }
        }
        callers.planned();
        return own;
    }

    private void fillMinimumShares(List<PlannedRoute> all) {
        boolean severalRanks = all.stream()
                        .map(route -> route.key().organisationRank())
                        .distinct()
                        .count()
                > 1;
        if (severalRanks) {
            double least = Math.max(MINIMUM_SHARE, MINIMUM_OF_MEAN * meanShare());
            allocation.fill(all, least, MINIMUM_PART_OF_RANKS);
        } else {
            allocation.fill(all, MINIMUM_SHARE, MINIMUM_PART);
        }
    }

    /** Returns the share of all requests that the last plan admits. */
    private double meanShare() {
        double asked = 0;
        double admitted = 0;
        for (Map.Entry<DemandKey, Double> each : offered.entrySet()) {
            asked += each.getValue();
            admitted += each.getValue() * shares.getOrDefault(each.getKey(), 1.0);
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

    private SlotAllocation allocation(Map<ServiceName, ServiceLoad> loads) {
        if (!disabledMechanisms.contains(Mechanism.IDLE_SLOTS)) {
            slots.update(loads, allocation::isFull);
        }
        SlotAllocation newAllocation = new SlotAllocation();
        loads.forEach((service, load) -> newAllocation.add(service, slots.of(service, load)));
        return newAllocation;
    }

    /**
     * Adds the cost of a request that completed.
     *
     * @param route its route
     * @param times the slot time that it took at each service, including all of its calls
     */
    public void addCost(String route, List<SlotTime> times) {
        costs.addCompleted(route, times);
    }

    /**
     * Adds the cost of a request that failed midway, as a lower bound.
     *
     * @param route its route
     * @param times the slot time that it took at each service until it failed
     */
    public void addMinimumCost(String route, List<SlotTime> times) {
        costs.addMinimum(route, times);
    }

    /**
     * Returns the costs that this node has measured, to be sent to other nodes.
     *
     * @return the cost of each route at each service
     */
    public List<RouteCost> ownCosts() {
        return costs.own();
    }

    /**
     * Returns which share of a route's requests is admitted at this node.
     *
     * @param key the route, and the rank of the requesting organisations
     * @return 0 to 1
     */
    public double share(DemandKey key) {
        return ownShares.getOrDefault(key, 1.0);
    }

    /**
     * Returns whether a plan needs to know at which nodes a route's requests enter.
     *
     * @param key the route, and the rank of the requesting organisations
     * @return whether it does
     */
    public boolean needsCallers(DemandKey key) {
        return shared.contains(key);
    }

    /**
     * Returns what bounds the share of a route's requests that is admitted at this node.
     *
     * @param key the route, and the rank of the requesting organisations
     * @return the bound that counts; slots where the share is not bounded
     */
    public ShareBound bound(DemandKey key) {
        return share(key) < shares.getOrDefault(key, 1.0) ? ShareBound.CALLERS : ShareBound.SLOTS;
    }

    /**
     * Returns the classes of requests that the plan covers.
     *
     * @return routes, with the ranks of the requesting organisations
     */
    public Set<DemandKey> keys() {
        return shares.keySet();
    }

    /**
     * Returns the demand for a route in the whole fleet.
     *
     * @param key the route, and the rank of the requesting organisations
     * @return requests a second
     */
    public double offered(DemandKey key) {
        return offered.getOrDefault(key, 0.0);
    }
}
