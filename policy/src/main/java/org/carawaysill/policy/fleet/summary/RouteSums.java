package org.carawaysill.policy.fleet.summary;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.policy.message.PeerMessage.NodeReport;
import org.carawaysill.policy.message.PeerMessage.RouteCost;
import org.carawaysill.policy.message.PeerMessage.RouteDemand;
import org.carawaysill.policy.message.StateSummary.RouteSummary;
import org.carawaysill.policy.message.StateSummary.ServiceCost;

/**
 * What callers ask of several nodes, and what that costs, added up by route.
 *
 * <p>Sums of sums are the sums of all: it does not matter which node adds up what, as long as each node is added once. Not
 * thread safe: owned by the policy.
 */
public final class RouteSums {

    /**
     * How much a node's figures count for a route of which nothing completes there, as completions a second: enough where
     * nothing completes anywhere, next to nothing else.
     */
    private static final double FAILING_WEIGHT = 0.001;

    private final Map<String, Double> offered = new HashMap<>();
    private final Map<String, Map<ServiceName, Mean>> costs = new HashMap<>();

    /**
     * Adds one node. What it learned of a route counts by how much of the route it completes.
     *
     * @param report what the node says
     */
    public void add(NodeReport report) {
        Map<String, Float> completed = new HashMap<>();
        for (RouteDemand demand : report.demands()) {
            offered.merge(demand.route(), (double) demand.offeredPerSecond(), Double::sum);
            completed.put(demand.route(), demand.completedPerSecond());
        }
        for (RouteCost cost : report.costs()) {
            double weight = completed.getOrDefault(cost.route(), 0f) + FAILING_WEIGHT;
            mean(cost.route(), cost.service()).add(cost.slotSeconds(), weight);
        }
    }

    /**
     * Adds nodes that were added up elsewhere.
     *
     * @param summaries their sums
     */
    public void add(List<RouteSummary> summaries) {
        for (RouteSummary summary : summaries) {
            offered.merge(summary.route(), (double) summary.offeredPerSecond(), Double::sum);
            for (ServiceCost cost : summary.costs()) {
                mean(summary.route(), cost.service()).add(cost.slotSeconds(), cost.weight());
            }
        }
    }

    private Mean mean(String route, ServiceName service) {
        return costs.computeIfAbsent(route, _ -> new HashMap<>()).computeIfAbsent(service, _ -> new Mean());
    }

    /**
     * Gives the sums.
     *
     * @return the sums, by route
     */
    public List<RouteSummary> summaries() {
        List<RouteSummary> summaries = new ArrayList<>(offered.size());
        offered.forEach((route, rate) -> summaries.add(summary(route, rate)));
        costs.keySet().stream()
                .filter(route -> !offered.containsKey(route))
                .forEach(route -> summaries.add(summary(route, 0)));
        return summaries;
    }

    private RouteSummary summary(String route, double rate) {
        List<ServiceCost> means = new ArrayList<>();
        costs.getOrDefault(route, Map.of())
                .forEach((service, mean) ->
                        means.add(new ServiceCost(service, (float) mean.value(), (float) mean.weight)));
        return new RouteSummary(route, (float) rate, means);
    }

    /**
     * Names the routes of which something is asked.
     *
     * @return the names
     */
    public Set<String> routes() {
        return offered.keySet();
    }

    /**
     * Tells how much is asked of a route.
     *
     * @param route the route's name
     * @return requests a second
     */
    public double offered(String route) {
        return offered.getOrDefault(route, 0.0);
    }

    /**
     * Gives what is known of costs.
     *
     * @param receiver gets each route with the seconds of a slot that one request takes, by service
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

        void add(double value, double itsWeight) {
            sum += value * itsWeight;
            weight += itsWeight;
        }

        double value() {
            return weight > 0 ? sum / weight : 0;
        }
    }
}
