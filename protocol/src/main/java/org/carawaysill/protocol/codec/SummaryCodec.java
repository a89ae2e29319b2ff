package org.carawaysill.protocol.codec;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.carawaysill.model.fleet.Organisation;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.OrganisationName;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.policy.message.OrganisationUse;
import org.carawaysill.policy.message.PeerMessage.LoadReport;
import org.carawaysill.policy.message.PublishedState;
import org.carawaysill.policy.message.StateSummary;
import org.carawaysill.policy.message.StateSummary.CallerGroup;
import org.carawaysill.policy.message.StateSummary.NodeState;
import org.carawaysill.policy.message.StateSummary.RankDemand;
import org.carawaysill.policy.message.StateSummary.RouteSummary;
import org.carawaysill.policy.message.StateSummary.ServiceCost;
import org.carawaysill.protocol.generated.CallerGroupFrame;
import org.carawaysill.protocol.generated.NodeStateFrame;
import org.carawaysill.protocol.generated.OrganisationUseFrame;
import org.carawaysill.protocol.generated.RankDemandFrame;
import org.carawaysill.protocol.generated.RouteSummaryFrame;
import org.carawaysill.protocol.generated.ServiceCostFrame;
import org.carawaysill.protocol.generated.StateSummaryFrame;

/**
 * Encodes and decodes summaries of the state of many nodes.
 *
 * <p>Service names, which recur with each node and cost, are sent once and referred to by index, so a node takes about
 * 27 bytes. Stateless and thread safe.
 */
final class SummaryCodec {

    /** More nodes than any fleet has; sums of several such numbers still fit. */
    private static final int MAXIMUM_NODES = 1_000_000;

    private SummaryCodec() {}

    static StateSummaryFrame encode(StateSummary summary) {
        Map<ServiceName, Integer> services = new LinkedHashMap<>();
        StateSummaryFrame.Builder frame = StateSummaryFrame.newBuilder()
                .setPublishedPosition(summary.published().position())
                .setPublishedDigest(summary.published().digest());
        summary.nodes().forEach(node -> frame.addNodes(encode(node, services)));
        summary.routes().forEach(route -> frame.addRoutes(encode(route, services)));
        summary.uses().forEach(use -> frame.addUses(encode(use)));
        services.keySet().forEach(service -> frame.addServices(service.value()));
        return frame.build();
    }

    static OrganisationUseFrame encode(OrganisationUse use) {
        return OrganisationUseFrame.newBuilder()
                .setOrganisation(use.organisation().value())
                .setAdmitted(use.admitted())
                .build();
    }

    static List<OrganisationUse> decodeUses(List<OrganisationUseFrame> frames) throws ProtocolFault {
        List<OrganisationUse> uses = new ArrayList<>(frames.size());
        for (OrganisationUseFrame frame : frames) {
            OrganisationName organisation = Fields.organisation(frame.getOrganisation())
                    .orElseThrow(() -> new ProtocolFault(ProtocolFault.Kind.MISSING, "organisation"));
            uses.add(new OrganisationUse(organisation, Fields.notNegative(frame.getAdmitted(), "admitted")));
        }
        return uses;
    }

    private static int indexOf(ServiceName service, Map<ServiceName, Integer> services) {
        return services.computeIfAbsent(service, _ -> services.size());
    }

    private static NodeStateFrame encode(NodeState node, Map<ServiceName, Integer> services) {
        NodeStateFrame.Builder frame = NodeStateFrame.newBuilder()
                .setNode(node.node().value())
                .setServiceIndex(indexOf(node.service(), services))
                .setLeaving(node.leaving())
                .setUnableToReadPlatform(!node.readsPlatform())
                .setInFlight(node.load().inFlight())
                .setLimit(node.load().limit())
                .setQueued(node.load().queued())
                .setWorkSeconds(node.workSeconds())
                .setUnheard(node.load().unheard())
                .setRunSeconds(node.load().runSeconds());
        node.load().pace().ifPresent(pace -> frame.setPace(LoadCodec.encode(pace)));
        return frame.build();
    }

    private static RouteSummaryFrame encode(RouteSummary route, Map<ServiceName, Integer> services) {
        RouteSummaryFrame.Builder frame = RouteSummaryFrame.newBuilder().setRoute(route.route());
        for (RankDemand demand : route.demands()) {
            frame.addDemands(encode(demand));
        }
        for (ServiceCost cost : route.costs()) {
            frame.addCosts(ServiceCostFrame.newBuilder()
                    .setServiceIndex(indexOf(cost.service(), services))
                    .setSlotSeconds(cost.slotSeconds())
                    .setWeight(cost.weight()));
        }
        return frame.build();
    }

    private static RankDemandFrame encode(RankDemand demand) {
        RankDemandFrame.Builder frame = RankDemandFrame.newBuilder()
                .setOrganisationRank(demand.organisationRank())
                .setOfferedPerSecond(demand.offeredPerSecond());
        for (CallerGroup group : demand.callers()) {
            frame.addCallers(CallerGroupFrame.newBuilder()
                    .setExponent(group.exponent())
                    .setNodes(group.nodes())
                    .setOfferedPerSecond(group.offeredPerSecond()));
        }
        return frame.build();
    }

    static StateSummary decode(StateSummaryFrame frame) throws ProtocolFault {
        List<ServiceName> services = new ArrayList<>(frame.getServicesCount());
        for (String service : frame.getServicesList()) {
            services.add(Fields.service(service));
        }
        List<NodeState> nodes = new ArrayList<>(frame.getNodesCount());
        for (NodeStateFrame node : frame.getNodesList()) {
            nodes.add(decode(node, services));
        }
        List<RouteSummary> routes = new ArrayList<>(frame.getRoutesCount());
        for (RouteSummaryFrame route : frame.getRoutesList()) {
            routes.add(decode(route, services));
        }
        return new StateSummary(
                new PublishedState(
                        Fields.notNegative(frame.getPublishedPosition(), "published position"),
                        frame.getPublishedDigest()),
                nodes,
                routes,
                decodeUses(frame.getUsesList()));
    }

    private static ServiceName serviceAt(int index, List<ServiceName> services) throws ProtocolFault {
        return services.get(Fields.inRange(index, 0, services.size() - 1, "service index"));
    }

    private static NodeState decode(NodeStateFrame node, List<ServiceName> services) throws ProtocolFault {
        return new NodeState(
                new NodeName(Fields.notBlank(node.getNode(), "node")),
                serviceAt(node.getServiceIndex(), services),
                node.getLeaving(),
                !node.getUnableToReadPlatform(),
                new LoadReport(
                        Fields.notNegative(node.getInFlight(), "in flight"),
                        Fields.notNegative(node.getLimit(), "limit"),
                        Fields.notNegative(node.getQueued(), "queued"),
                        0,
                        LoadCodec.decode(node.hasPace(), node.getPace()),
                        node.getUnheard(),
                        Fields.notNegative(node.getRunSeconds(), "run seconds")),
                Fields.notNegative(node.getWorkSeconds(), "work seconds"));
    }

    private static RouteSummary decode(RouteSummaryFrame route, List<ServiceName> services) throws ProtocolFault {
        List<ServiceCost> costs = new ArrayList<>(route.getCostsCount());
        for (ServiceCostFrame cost : route.getCostsList()) {
            costs.add(new ServiceCost(
                    serviceAt(cost.getServiceIndex(), services),
                    Fields.notNegative(cost.getSlotSeconds(), "slot seconds"),
                    Fields.notNegative(cost.getWeight(), "weight")));
        }
        List<RankDemand> demands = new ArrayList<>(route.getDemandsCount());
        for (RankDemandFrame demand : route.getDemandsList()) {
            demands.add(decode(demand));
        }
        return new RouteSummary(route.getRoute(), demands, costs);
    }

    private static RankDemand decode(RankDemandFrame demand) throws ProtocolFault {
        List<CallerGroup> callers = new ArrayList<>(demand.getCallersCount());
        for (CallerGroupFrame group : demand.getCallersList()) {
            callers.add(new CallerGroup(
                    Fields.inRange(group.getExponent(), 0, Float.MAX_EXPONENT, "exponent"),
                    Fields.inRange(group.getNodes(), 1, MAXIMUM_NODES, "nodes"),
                    Fields.notNegative(group.getOfferedPerSecond(), "offered per second")));
        }
        return new RankDemand(
                Fields.inRange(demand.getOrganisationRank(), 0, Organisation.MAX_RANK, "organisation rank"),
                Fields.notNegative(demand.getOfferedPerSecond(), "offered per second"),
                callers);
    }
}
