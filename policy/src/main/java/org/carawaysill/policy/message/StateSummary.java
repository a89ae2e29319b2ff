package org.carawaysill.policy.message;

import java.util.List;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.policy.message.PeerMessage.LoadReport;

/**
 * The state of many nodes, summed up by one of them.
 *
 * <p>Invariant: a node that is not listed was not heard of lately. Immutable and thread safe.
 *
 * @param published what the sender decides by of all that is published
 * @param nodes the nodes that were heard of lately
 * @param routes what callers ask of these nodes, and what that costs
 * @param uses what organisations lately used of their allowances at these nodes
 */
public record StateSummary(
        PublishedState published, List<NodeState> nodes, List<RouteSummary> routes, List<OrganisationUse> uses) {

    public StateSummary {
        nodes = List.copyOf(nodes);
        routes = List.copyOf(routes);
        uses = List.copyOf(uses);
    }

    /**
     * One node that was heard of lately.
     *
     * @param node the node
     * @param service the service of its copy
     * @param leaving whether it takes no new work
     * @param readsPlatform whether it could read the platform for others
     * @param load the load of its copy
     * @param workSeconds what its copy lately took for a request, without its calls; 0 where that is not known
     */
    public record NodeState(
            NodeName node,
            ServiceName service,
            boolean leaving,
            boolean readsPlatform,
            LoadReport load,
            float workSeconds) {}

    /**
     * One route, over several nodes.
     *
     * @param route the route's name
     * @param demands requests of callers, by the rank of their organisations
     * @param costs what one of them costs
     */
    public record RouteSummary(String route, List<RankDemand> demands, List<ServiceCost> costs) {

        public RouteSummary {
            demands = List.copyOf(demands);
            costs = List.copyOf(costs);
        }
    }

    /**
     * What organisations of one rank ask of a route.
     *
     * @param organisationRank their rank
     * @param offeredPerSecond requests of callers
     */
    public record RankDemand(int organisationRank, float offeredPerSecond) {}

    /**
     * What one request of a route costs at one service, averaged over nodes.
     *
     * @param service the service
     * @param slotSeconds the time for which it keeps slots busy there, all calls that it causes included
     * @param weight how much this counts beside the average of other nodes, in requests that completed a second
     */
    public record ServiceCost(ServiceName service, float slotSeconds, float weight) {}
}
