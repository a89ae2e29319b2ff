package org.carawaysill.policy.fleet.entry;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.carawaysill.model.fleet.Route;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.policy.fleet.Mechanism;
import org.carawaysill.policy.message.PeerMessage.NodeReport;
import org.carawaysill.policy.message.PeerMessage.RouteCost;
import org.carawaysill.policy.message.PeerMessage.SlotTime;

/**
 * Which share of each route's requests is let in, so that what is let in fits every service that it reaches.
 *
 * <p>Refusing a call at the last hop wastes all work done above it: where a request makes a dozen calls in a row, one
 * refused call in ten leaves hardly any whole request. So requests are refused at the entry, before any work, and by what
 * they cost at each service below. All nodes see nearly the same reports and so come to nearly the same plan without
 * talking about it. Invariant: a route's share is never below that of a route of higher rank that costs as much at the
 * service that binds it. Not thread safe: owned by the policy.
 */
public final class EntryPlan {

    /**
     * The part of a service's slots that is planned for. The rest takes up that requests come in clumps: queues in front
     * of pooled slots grow without bound near all of them.
     */
    private static final double PLANNED_PART = 0.9;

    /** What of each route is let in however much it costs: no kind of request is to be starved. */
    private static final double LEAST_SHARE = 0.1;

    private final Set<Mechanism> without;
    private final RouteCosts costs = new RouteCosts();
    private Map<String, Double> shares = Map.of();
    private Map<String, Double> offered = Map.of();

    /**
     * Starts without a plan: everything is let in.
     *
     * @param without what is switched off
     */
    public EntryPlan(Set<Mechanism> without) {
        this.without = without;
    }

    /**
     * Plans anew.
     *
     * @param reports the latest report of each node in reach, this one's included
     * @param loads what the copies that may get work now are doing, by service; a service that is not there has none
     * @param routes the routes by name
     */
    public void update(Collection<NodeReport> reports, Map<ServiceName, ServiceLoad> loads, Map<String, Route> routes) {
        FleetDemand demand = new FleetDemand(reports);
        costs.average(reports);
        costs.retain(routes.keySet());
        if (without.contains(Mechanism.ENTRY_PLAN)) {
            return;
        }
        Map<ServiceName, Double> room = new HashMap<>();
        loads.forEach((service, load) -> room.put(service, PLANNED_PART * load.slots()));
        List<Planned> planned = new ArrayList<>();
        for (String name : demand.routes()) {
            Route route = routes.get(name);
            if (route != null && demand.offered(name) > 0) {
                planned.add(new Planned(name, route.rank(), demand.offered(name), costs.of(name)));
            }
        }
        planned.sort(Comparator.comparingInt(Planned::rank).thenComparingDouble(each -> each.dearness(room)));
        Map<String, Double> newShares = new HashMap<>();
        planned.forEach(each -> each.take(LEAST_SHARE * each.offered, room));
        for (Planned each : planned) {
            double more = each.fitting(room, (1 - LEAST_SHARE) * each.offered);
            each.take(more, room);
            newShares.put(each.name, LEAST_SHARE + more / each.offered);
        }
        shares = newShares;
        Map<String, Double> newOffered = new HashMap<>();
        planned.forEach(each -> newOffered.put(each.name, each.offered));
        offered = newOffered;
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
     * Gives what this node has learned, to be told to others.
     *
     * @return the cost of each route at each service
     */
    public List<RouteCost> ownCosts() {
        return costs.own();
    }

    /**
     * Tells which share of a route's requests is let in.
     *
     * @param route the route's name
     * @return 0 to 1
     */
    public double share(String route) {
        return shares.getOrDefault(route, 1.0);
    }

    /**
     * Tells how much is asked of a route in the whole fleet.
     *
     * @param route the route's name
     * @return requests a second
     */
    public double offered(String route) {
        return offered.getOrDefault(route, 0.0);
    }

    private record Planned(String name, int rank, double offered, Map<ServiceName, Double> costs) {

        /** The greatest part of any service's room that one request a second takes. */
        double dearness(Map<ServiceName, Double> room) {
            double dearest = 0;
            for (Map.Entry<ServiceName, Double> cost : costs.entrySet()) {
                double available = room.getOrDefault(cost.getKey(), 0.0);
                dearest = Math.max(dearest, available <= 0 ? 0 : cost.getValue() / available);
            }
            return dearest;
        }

        double fitting(Map<ServiceName, Double> room, double wanted) {
            double fits = wanted;
            for (Map.Entry<ServiceName, Double> cost : costs.entrySet()) {
                double available = room.getOrDefault(cost.getKey(), 0.0);
                if (cost.getValue() > 0) {
                    fits = Math.min(fits, Math.max(0, available) / cost.getValue());
                }
            }
            return fits;
        }

        void take(double rate, Map<ServiceName, Double> room) {
            costs.forEach((service, cost) -> room.merge(service, -rate * cost, Double::sum));
        }
    }
}
