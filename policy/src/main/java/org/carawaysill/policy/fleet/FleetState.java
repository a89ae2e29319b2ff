package org.carawaysill.policy.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.carawaysill.model.identity.AvailabilityZone;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.policy.fleet.allowance.FleetAllowances;
import org.carawaysill.policy.fleet.copy.Copy;
import org.carawaysill.policy.fleet.entry.DemandKey;
import org.carawaysill.policy.fleet.summary.Aggregators;
import org.carawaysill.policy.fleet.summary.ReportAggregator;
import org.carawaysill.policy.fleet.summary.RouteSums;
import org.carawaysill.policy.fleet.summary.Summaries;
import org.carawaysill.policy.message.PeerMessage;
import org.carawaysill.policy.message.PeerMessage.NodeReport;
import org.carawaysill.policy.message.StateSummary;
import org.carawaysill.policy.message.StateSummary.NodeState;

/**
 * The states of all other nodes as reported to this node, and the distribution of its own report.
 *
 * <p>Each node reports to the two aggregators of its availability zone. Aggregators send one another a summary of the
 * reports that they received, and each sends its zone a summary of the whole fleet. Sending all reports to all nodes
 * would grow with the square of the fleet: 22,300 messages a second at 95 nodes, which made over half of the bytes
 * between zones. With aggregators it is 4 messages for each node and 8 for each pair of zones in an interval. All nodes
 * know of a change at most three intervals after it. Not thread safe: owned by the policy.
 */
final class FleetState {

    private final FleetSettings settings;
    private final Effects effects;
    private final PublishedView view;
    private final Peers peers;
    private final FleetAllowances allowances;
    private final ReportAggregator reportAggregator = new ReportAggregator();
    private final Summaries groupSummaries = new Summaries();
    private final Summaries fleetSummaries = new Summaries();
    private Aggregators aggregators = new Aggregators(Map.of());
    private Map<NodeName, NodeState> states = Map.of();
    private RouteSums routes = new RouteSums();

    FleetState(FleetSettings settings, Effects effects, PublishedView view, Peers peers, FleetAllowances allowances) {
        this.settings = settings;
        this.effects = effects;
        this.view = view;
        this.peers = peers;
        this.allowances = allowances;
    }

    /** Receives another node's own report. */
    void reported(long now, NodeName from, NodeReport report) {
        if (report.summed()) {
            reportAggregator.reported(now, from, report);
        }
    }

    /** Receives another aggregator's summary of the reports that it received. */
    void groupSummaryReceived(long now, NodeName from, StateSummary summary) {
        groupSummaries.receive(now, from, summary);
    }

    /** Receives the summary of the fleet from an aggregator of this node's zone. */
    void fleetSummaryReceived(long now, NodeName from, StateSummary summary) {
        fleetSummaries.receive(now, from, summary);
        if (!isAggregator()) {
            update(now, fleetSummaries.all());
            updateAllowanceUses(now, summary);
        }
    }

    void lost(NodeName node) {
        reportAggregator.lost(node);
        groupSummaries.lost(node);
        fleetSummaries.lost(node);
    }

    private boolean isAggregator() {
        return !reportAggregator.members().isEmpty()
                || aggregators.of(settings.zone()).contains(settings.self());
    }

    /**
     * Sends this node's report, and as an aggregator also the summaries; then updates this node's view of the fleet.
     *
     * @param withCallers for which requests an aggregator tells how they are spread over nodes
     */
    void tick(long now, NodeReport own, Predicate<DemandKey> withCallers) {
        reportAggregator.passTime(now);
        groupSummaries.passTime(now);
        fleetSummaries.passTime(now);
        aggregators = new Aggregators(reachableByZone());
        boolean primary = reportToAggregators(now, own);
        if (isAggregator()) {
            sendSummaries(now, primary ? own : own.withoutDemands(true), withCallers);
        } else {
            update(now, fleetSummaries.all());
            addOwnDemand(own);
        }
    }

    private Map<AvailabilityZone, List<NodeName>> reachableByZone() {
        Map<NodeName, AvailabilityZone> zones = new HashMap<>();
        for (Copy copy : view.copies().allIncludingUnconfigured()) {
            if (peers.isReachable(copy.node())) {
                zones.put(copy.node(), copy.record().zone());
            }
        }
        zones.put(settings.self(), settings.zone());
        Map<AvailabilityZone, List<NodeName>> byZone = new HashMap<>();
        zones.forEach((node, zone) ->
                byZone.computeIfAbsent(zone, _ -> new ArrayList<>()).add(node));
        return byZone;
    }

    /** Reports to the aggregators of this zone; returns whether this node itself adds up its own demand. */
    private boolean reportToAggregators(long now, NodeReport own) {
        List<NodeName> receivers = aggregators.of(settings.zone());
        NodeName primary = receivers.getFirst();
        for (NodeName receiver : receivers) {
            if (!receiver.equals(settings.self())) {
                boolean withDemands = receiver.equals(primary);
                send(now, receiver, own.forAggregator(withDemands));
            }
        }
        return primary.equals(settings.self());
    }

    private void send(long now, NodeName receiver, PeerMessage message) {
        effects.add(new FleetEffect.SendToPeer(receiver, message));
        peers.expectReply(now, receiver);
    }

    private void sendSummaries(long now, NodeReport own, Predicate<DemandKey> withCallers) {
        StateSummary groupSummary = reportAggregator.summary(settings.self(), own, withCallers);
        Set<NodeName> others = otherAggregators();
        // One message for all receivers: the link encodes a message once if it is sent to several nodes in a row.
        PeerMessage forOthers = new PeerMessage.GroupSummary(groupSummary);
        others.forEach(other -> send(now, other, forOthers));
        List<StateSummary> all = new ArrayList<>(groupSummaries.all());
        all.add(groupSummary);
        StateSummary joined = Summaries.merge(own.published(), all);
        PeerMessage forMembers = new PeerMessage.FleetSummary(joined);
        for (NodeName member : reportAggregator.members()) {
            if (!others.contains(member)) {
                effects.add(new FleetEffect.SendToPeer(member, forMembers));
            }
        }
        update(now, List.of(joined));
        updateAllowanceUses(now, joined);
    }

    private void updateAllowanceUses(long now, StateSummary summary) {
        allowances.receiveUse(now, summary.uses(), summary.nodes().size());
    }

    /**
     * Returns the other aggregators: those that this node knows, and those that send summaries to this node. Guards
     * against two aggregators that disagree on who is one: each would wait for an answer of the other, and reset the
     * connection.
     */
    private Set<NodeName> otherAggregators() {
        Set<NodeName> others = new LinkedHashSet<>(aggregators.all());
        others.addAll(groupSummaries.senders());
        others.remove(settings.self());
        return others;
    }

    private void update(long now, List<StateSummary> summaries) {
        states = Summaries.states(summaries);
        // Both aggregators of a zone add up the same demand; the one that knows more nodes has the fuller sum.
        routes = new RouteSums();
        summaries.stream()
                .max(Comparator.comparingInt(summary -> summary.nodes().size()))
                .ifPresent(summary -> routes.add(summary.routes()));
        for (Copy copy : view.copies().all()) {
            NodeState state = states.get(copy.node());
            if (state != null) {
                copy.receiveRelayedLoad(now, state.load());
                copy.receiveWorkSeconds(state.workSeconds());
            }
        }
    }

    /** Adds this node's own demand if it receives no reports of other nodes. */
    private void addOwnDemand(NodeReport own) {
        if (states.isEmpty()) {
            routes.add(own);
        }
    }

    /**
     * Announces a newer published state to the aggregators of this zone, and if this node is an aggregator, to all
     * nodes that receive summaries from it. They request the newer entries without waiting for the next periodic
     * report.
     */
    void announcePublished(long now, NodeReport own) {
        reportToAggregators(now, own);
        if (isAggregator()) {
            Set<NodeName> receivers = otherAggregators();
            receivers.addAll(reportAggregator.members());
            receivers.removeAll(aggregators.of(settings.zone()));
            receivers.forEach(receiver -> sendReport(receiver, own));
        }
    }

    /** Sends this node's report to another node, which does not include it in a summary. */
    void sendReport(NodeName receiver, NodeReport own) {
        boolean sameZone = view.copies().allIncludingUnconfigured().stream()
                .filter(copy -> copy.node().equals(receiver))
                .anyMatch(copy -> copy.record().zone().equals(settings.zone()));
        effects.add(new FleetEffect.SendToPeer(receiver, own.withoutDemands(sameZone)));
    }

    /** Returns whether a node is in the latest summaries; true for every node while there are none. */
    boolean isListed(NodeName node) {
        return states.isEmpty() || states.containsKey(node);
    }

    /** Returns whether the summaries report that a node is leaving. */
    boolean isLeaving(NodeName node) {
        NodeState state = states.get(node);
        return state != null && state.leaving();
    }

    /** Returns the state of a node if it is in the latest summaries. */
    Optional<NodeState> state(NodeName node) {
        return Optional.ofNullable(states.get(node));
    }

    /** Returns the states of all nodes in the latest summaries. */
    List<NodeState> states() {
        return List.copyOf(states.values());
    }

    /** Returns the demand of callers at all nodes, and its cost. */
    RouteSums routes() {
        return routes;
    }
}
