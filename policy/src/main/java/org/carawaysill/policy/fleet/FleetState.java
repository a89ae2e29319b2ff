package org.carawaysill.policy.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.carawaysill.model.identity.AvailabilityZone;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.policy.fleet.allowance.FleetAllowances;
import org.carawaysill.policy.fleet.copy.Copy;
import org.carawaysill.policy.fleet.summary.Aggregators;
import org.carawaysill.policy.fleet.summary.Group;
import org.carawaysill.policy.fleet.summary.RouteSums;
import org.carawaysill.policy.fleet.summary.Summaries;
import org.carawaysill.policy.message.PeerMessage;
import org.carawaysill.policy.message.PeerMessage.NodeReport;
import org.carawaysill.policy.message.StateSummary;
import org.carawaysill.policy.message.StateSummary.NodeState;

/**
 * What this node knows of the state of all others, and whom it tells of its own.
 *
 * <p>Each node reports to the two that sum up for its availability zone; these tell one another what they were told, and
 * each of them tells its zone of all. Reports of all nodes to all grow with the square of the fleet: 22,300 messages a second
 * at 95 nodes, which made over half of the bytes between zones; so it is 4 for each node and 8 for each pair of zones in an
 * interval. A change is known everywhere three intervals after it at the latest. Not thread safe: owned by the policy.
 */
final class FleetState {

    private final FleetSettings settings;
    private final Effects effects;
    private final Beliefs beliefs;
    private final Peers peers;
    private final FleetAllowances allowances;
    private final Group group = new Group();
    private final Summaries ofGroups = new Summaries();
    private final Summaries ofFleet = new Summaries();
    private Aggregators aggregators = new Aggregators(Map.of());
    private Map<NodeName, NodeState> states = Map.of();
    private RouteSums routes = new RouteSums();

    FleetState(FleetSettings settings, Effects effects, Beliefs beliefs, Peers peers, FleetAllowances allowances) {
        this.settings = settings;
        this.effects = effects;
        this.beliefs = beliefs;
        this.peers = peers;
        this.allowances = allowances;
    }

    /** Receives what another node says of itself. */
    void reported(long now, NodeName from, NodeReport report) {
        if (report.summed()) {
            group.reported(now, from, report);
        }
    }

    /** Receives what another node that sums up was told. */
    void groupTold(long now, NodeName from, StateSummary summary) {
        ofGroups.told(now, from, summary);
    }

    /** Receives what a node that sums up for this one knows of the fleet. */
    void fleetTold(long now, NodeName from, StateSummary summary) {
        ofFleet.told(now, from, summary);
        if (!sumsUp()) {
            takeOver(now, ofFleet.all());
            tellUses(now, summary);
        }
    }

    void lost(NodeName node) {
        group.lost(node);
        ofGroups.lost(node);
        ofFleet.lost(node);
    }

    private boolean sumsUp() {
        return !group.members().isEmpty() || aggregators.of(settings.zone()).contains(settings.self());
    }

    /** Tells others of this node, and of those that report to it; then sums up for this node itself. */
    void tick(long now, NodeReport own) {
        group.passTime(now);
        ofGroups.passTime(now);
        ofFleet.passTime(now);
        aggregators = new Aggregators(reachableByZone());
        boolean primary = report(now, own);
        if (sumsUp()) {
            sumUp(now, primary ? own : own.toBeKnown(true));
        } else {
            takeOver(now, ofFleet.all());
            addOwn(own);
        }
    }

    private Map<AvailabilityZone, List<NodeName>> reachableByZone() {
        Map<NodeName, AvailabilityZone> zones = new HashMap<>();
        for (Copy copy : beliefs.copies().withUnnamed()) {
            if (peers.inTouch(copy.node())) {
                zones.put(copy.node(), copy.record().zone());
            }
        }
        zones.put(settings.self(), settings.zone());
        Map<AvailabilityZone, List<NodeName>> byZone = new HashMap<>();
        zones.forEach((node, zone) ->
                byZone.computeIfAbsent(zone, _ -> new ArrayList<>()).add(node));
        return byZone;
    }

    /** Reports to those that sum up for this zone; tells whether this node adds up its own demand. */
    private boolean report(long now, NodeReport own) {
        List<NodeName> receivers = aggregators.of(settings.zone());
        NodeName primary = receivers.getFirst();
        for (NodeName receiver : receivers) {
            if (!receiver.equals(settings.self())) {
                boolean whole = receiver.equals(primary);
                send(now, receiver, own.toBeSummed(whole));
            }
        }
        return primary.equals(settings.self());
    }

    private void send(long now, NodeName receiver, PeerMessage message) {
        effects.add(new FleetEffect.SendToPeer(receiver, message));
        peers.asked(now, receiver);
    }

    private void sumUp(long now, NodeReport own) {
        StateSummary ofGroup = group.summary(settings.self(), own);
        Set<NodeName> others = others();
        others.forEach(other -> send(now, other, new PeerMessage.GroupSummary(ofGroup)));
        List<StateSummary> all = new ArrayList<>(ofGroups.all());
        all.add(ofGroup);
        StateSummary joined = Summaries.join(own.published(), all);
        for (NodeName member : group.members()) {
            if (!others.contains(member)) {
                effects.add(new FleetEffect.SendToPeer(member, new PeerMessage.FleetSummary(joined)));
            }
        }
        takeOver(now, List.of(joined));
        tellUses(now, joined);
    }

    private void tellUses(long now, StateSummary summary) {
        allowances.told(now, summary.uses(), summary.nodes().size());
    }

    /**
     * Those that sum up, by what this node knows; and those that take this node for one that does. Guards against two that
     * know of different ones: each would wait for an answer of the other, and give its connection up.
     */
    private Set<NodeName> others() {
        Set<NodeName> others = new LinkedHashSet<>(aggregators.all());
        others.addAll(ofGroups.senders());
        others.remove(settings.self());
        return others;
    }

    private void takeOver(long now, List<StateSummary> summaries) {
        states = Summaries.states(summaries);
        // Two that sum up for one zone add up the same demand; the one that knows of more nodes knows more of it.
        routes = new RouteSums();
        summaries.stream()
                .max(Comparator.comparingInt(summary -> summary.nodes().size()))
                .ifPresent(summary -> routes.add(summary.routes()));
        for (Copy copy : beliefs.copies().all()) {
            NodeState state = states.get(copy.node());
            if (state != null) {
                copy.toldByOthers(now, state.load());
                copy.works(state.workSeconds());
            }
        }
    }

    /** A node that hears nobody knows at least what is asked of itself. */
    private void addOwn(NodeReport own) {
        if (states.isEmpty()) {
            routes.add(own);
        }
    }

    /**
     * Tells that this node decides by something newer: those that sum up for its zone, and where it sums up itself, all that
     * hear of others from it. They ask for what is newer, and are not kept waiting for the next report.
     */
    void tellPublished(long now, NodeReport own) {
        report(now, own);
        if (sumsUp()) {
            Set<NodeName> receivers = others();
            receivers.addAll(group.members());
            receivers.removeAll(aggregators.of(settings.zone()));
            receivers.forEach(receiver -> tell(receiver, own));
        }
    }

    /** Tells another node of this one, without asking it to sum that up. */
    void tell(NodeName receiver, NodeReport own) {
        boolean sameZone = beliefs.copies().withUnnamed().stream()
                .filter(copy -> copy.node().equals(receiver))
                .anyMatch(copy -> copy.record().zone().equals(settings.zone()));
        effects.add(new FleetEffect.SendToPeer(receiver, own.toBeKnown(sameZone)));
    }

    /** Returns whether others that are in touch with a node were heard to say so lately; without any, nobody knows. */
    boolean isListed(NodeName node) {
        return states.isEmpty() || states.containsKey(node);
    }

    /** Returns whether a node was heard to leave from those that sum up. */
    boolean isLeaving(NodeName node) {
        NodeState state = states.get(node);
        return state != null && state.leaving();
    }

    /** The state of a node, where it was heard of lately. */
    Optional<NodeState> state(NodeName node) {
        return Optional.ofNullable(states.get(node));
    }

    /** The states of all nodes that were heard of lately. */
    List<NodeState> states() {
        return List.copyOf(states.values());
    }

    /** What callers ask of all nodes, and what it costs. */
    RouteSums routes() {
        return routes;
    }
}
