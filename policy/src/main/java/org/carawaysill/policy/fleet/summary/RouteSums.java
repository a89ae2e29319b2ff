package org.carawaysill.policy.fleet.summary;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.policy.fleet.entry.DemandKey;
import org.carawaysill.policy.message.PeerMessage.NodeReport;
import org.carawaysill.policy.message.PeerMessage.RouteCost;
import org.carawaysill.policy.message.PeerMessage.RouteDemand;
import org.carawaysill.policy.message.StateSummary.CallerGroup;
import org.carawaysill.policy.message.StateSummary.RankDemand;
import org.carawaysill.policy.message.StateSummary.RouteSummary;
import org.carawaysill.policy.message.StateSummary.ServiceCost;

/**
 * Sums up the demand of callers at several nodes and its costs, by route.
 *
 * <p>Sums can themselves be summed up: it does not matter which node adds what, as long as each node is added once. Not
 * thread safe: owned by the policy.
 */
public final class RouteSums {

    /**
     * The weight of a node's costs for a route of which nothing completes there, as completions a second: enough if
     * nothing completes anywhere, negligible otherwise.
     */
    private static final double FAILING_WEIGHT = 0.001;

    private final Map<DemandKey, Double> offered = new HashMap<>();
    private final Map<DemandKey, CallerGroups> callers = new HashMap<>();
    private final Map<String, Map<ServiceName, Mean>> costs = new HashMap<>();
    private final Predicate<DemandKey> withCallers;

    /** Creates empty sums that do not tell callers apart. */
    public RouteSums() {
        this(_ -> false);
    }

    /**
     * Creates empty sums.
     *
     * @param withCallers for which requests nodes that are added one by one are grouped by their rates
     */
    public RouteSums(Predicate<DemandKey> withCallers) {
        this.withCallers = withCallers;
    }

    /**
     * Adds one node. Its costs of a route are weighted by the rate at which the route's requests complete there.
     *
     * @param report the node's report
     */
    public void add(NodeReport report) {
        Map<String, Float> completed = new HashMap<>();
        for (RouteDemand demand : report.demands()) {
            DemandKey key = new DemandKey(demand.route(), demand.organisationRank());
            offered.merge(key, (double) demand.offeredPerSecond(), Double::sum);
            completed.merge(demand.route(), demand.completedPerSecond(), Float::sum);
            if (withCallers.test(key)) {
                callers.computeIfAbsent(key, _ -> new CallerGroups()).add(demand.offeredPerSecond());
            }
        }
        for (RouteCost cost : report.costs()) {
            double weight = completed.getOrDefault(cost.route(), 0f) + FAILING_WEIGHT;
            mean(cost.route(), cost.service()).add(cost.slotSeconds(), weight);
        }
    }

    /**
     * Adds nodes that were summed up elsewhere.
     *
     * @param summaries their sums
     */
    public void add(List<RouteSummary> summaries) {
        for (RouteSummary summary : summaries) {
            for (RankDemand demand : summary.demands()) {
                DemandKey key = new DemandKey(summary.route(), demand.organisationRank());
                offered.merge(key, (double) demand.offeredPerSecond(), Double::sum);
                if (!demand.callers().isEmpty()) {
                    callers.computeIfAbsent(key, _ -> new CallerGroups()).addAll(demand.callers());
                }
            }
            for (ServiceCost cost : summary.costs()) {
                mean(summary.route(), cost.service()).add(cost.slotSeconds(), cost.weight());
            }
        }
    }

    private Mean mean(String route, ServiceName service) {
        return costs.computeIfAbsent(route, _ -> new HashMap<>()).computeIfAbsent(service, _ -> new Mean());
    }

    /**
     * Returns the sums.
     *
     * @return the sums, by route
     */
    public List<RouteSummary> summaries() {
        Map<String, List<RankDemand>> demands = new HashMap<>();
        costs.keySet().forEach(route -> demands.put(route, new ArrayList<>()));
        offered.forEach((key, rate) -> demands.computeIfAbsent(key.route(), _ -> new ArrayList<>())
                .add(new RankDemand(key.organisationRank(), rate.floatValue(), callers(key))));
        List<RouteSummary> summaries = new ArrayList<>(demands.size());
        demands.forEach((route, routeDemands) -> summaries.add(summary(route, routeDemands)));
        return summaries;
    }

    private RouteSummary summary(String route, List<RankDemand> demands) {
        List<ServiceCost> means = new ArrayList<>();
        costs.getOrDefault(route, Map.of())
                .forEach((service, mean) ->
                        means.add(new ServiceCost(service, (float) mean.value(), (float) mean.weight)));
        return new RouteSummary(route, demands, means);
    }

    /**
     * Returns the routes with demand, with the ranks of the requesting organisations.
     *
     * @return the routes and ranks
     */
    public Set<DemandKey> keys() {
        return offered.keySet();
    }

    /**
     * Returns the demand for a route.
     *
     * @param key the route, and the rank of the requesting organisations
     * @return requests a second
     */
    public double offered(DemandKey key) {
        return offered.getOrDefault(key, 0.0);
    }

    /**
     * Returns the nodes at which requests enter, grouped by their rates.
     *
     * @param key the route, and the rank of the requesting organisations
     * @return the groups; empty if they are not known
     */
    public List<CallerGroup> callers(DemandKey key) {
        CallerGroups groups = callers.get(key);
        return groups == null ? List.of() : groups.list();
    }

    /**
     * Passes the known costs to a receiver.
     *
     * @param receiver receives each route with the slot seconds that one request takes, by service
     */
    public void forEachCost(BiConsumer<String, Map<ServiceName, Double>> receiver) {
        costs.forEach((route, means) -> {
            Map<ServiceName, Double> values = new HashMap<>();
            means.forEach((service, mean) -> {
                if (mean.weight > 0) {
                    values.put(service, mean.value());
                }
            });
            receiver.accept(route, values);
        });
    }

    private static final class Mean {

        private double sum;
        private double weight;

        void add(double value, double valueWeight) {
            sum += value * valueWeight;
            weight += valueWeight;
        }

        double value() {
            return weight > 0 ? sum / weight : 0;
        }
    }
}
