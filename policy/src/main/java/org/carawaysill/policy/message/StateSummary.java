package org.carawaysill.policy.message;

import java.util.List;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.policy.message.PeerMessage.LoadReport;

/**
 * The state of many nodes, aggregated by one of them.
 *
 * <p>Invariant: a node that is not listed was not heard from recently. Immutable and thread safe.
 *
 * @param published the sender's known state of the published entries
 * @param nodes the nodes that were heard from recently
 * @param routes the demand of callers at these nodes, and its cost
 * @param uses the recent use of allowances by organisations at these nodes
 */
public record StateSummary(
        PublishedState published, List<NodeState> nodes, List<RouteSummary> routes, List<OrganisationUse> uses) {

    public StateSummary {
        nodes = List.copyOf(nodes);
        routes = List.copyOf(routes);
        uses = List.copyOf(uses);
    }

    /**
     * A node that was heard from recently.
     *
     * @param node the node
     * @param service the service of its copy
     * @param leaving whether it accepts no new work
     * @param readsPlatform whether it could read the platform for others
     * @param load the load of its copy
     * @param workSeconds how long its copy recently worked on a request, without its calls; 0 if unknown
     */
    public record NodeState(
            NodeName node,
            ServiceName service,
            boolean leaving,
            boolean readsPlatform,
            LoadReport load,
            float workSeconds) {}

    /**
     * The demand and cost of one route over several nodes.
     *
     * @param route the route's name
     * @param demands the demand of callers, by the rank of their organisations
     * @param costs the cost of one request at each service
     */
    public record RouteSummary(String route, List<RankDemand> demands, List<ServiceCost> costs) {

        public RouteSummary {
            demands = List.copyOf(demands);
            costs = List.copyOf(costs);
        }
    }

    /**
     * The demand for a route by organisations of one rank.
     *
     * @param organisationRank their rank
     * @param offeredPerSecond the callers' requests per second
     * @param callers the nodes at which they enter, grouped by their number of requests
     */
    public record RankDemand(int organisationRank, float offeredPerSecond, List<CallerGroup> callers) {

        public RankDemand {
            callers = List.copyOf(callers);
        }
    }

    /**
     * The nodes at which similar numbers of requests enter.
     *
     * @param exponent the power of two below the requests a second that enter at each of them
     * @param nodes the number of nodes
     * @param offeredPerSecond the requests a second that enter at all of them
     */
    public record CallerGroup(int exponent, int nodes, float offeredPerSecond) {}

    /**
     * The cost of one request of a route at one service, averaged over nodes.
     *
     * @param service the service
     * @param slotSeconds the time for which it occupies slots there, including all calls that it causes
     * @param weight the weight of this average when combined with that of other nodes, in completed requests per second
     */
    public record ServiceCost(ServiceName service, float slotSeconds, float weight) {}
}
