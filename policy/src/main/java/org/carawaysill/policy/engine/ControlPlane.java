package org.carawaysill.policy.engine;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.carawaysill.model.configuration.CopyEntry;
import org.carawaysill.model.configuration.ServiceConfiguration;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.model.request.Priority;
import org.carawaysill.policy.distribution.ConfigurationDistribution;
import org.carawaysill.policy.effect.PeerState;
import org.carawaysill.policy.event.Event;
import org.carawaysill.policy.membership.HeartbeatContent;
import org.carawaysill.policy.membership.Membership;
import org.carawaysill.policy.message.PeerMessage;
import org.carawaysill.policy.message.PeerMessage.Heartbeat;
import org.carawaysill.policy.message.PeerMessage.LoadReport;
import org.carawaysill.policy.routing.CopySelector;
import org.carawaysill.policy.time.Moment;

/**
 * Connects configuration, membership and routing of one node.
 *
 * <p>Invariant: routing offers only nodes to which membership allows new work. Not thread safe: owned by the policy.
 */
final class ControlPlane {

    private final NodeIdentity identity;
    private final ServiceDirectory directory;
    private final ConfigurationDistribution distribution;
    private final Membership membership;
    private final CopySelector selector;
    private final HeartbeatContent heartbeatContent;
    private final Outbox out;
    private Map<NodeName, PeerState> states = Map.of();

    ControlPlane(
            NodeIdentity identity,
            ServiceDirectory directory,
            ConfigurationDistribution distribution,
            Membership membership,
            CopySelector selector,
            HeartbeatContent heartbeatContent,
            Outbox out) {
        this.identity = identity;
        this.directory = directory;
        this.distribution = distribution;
        this.membership = membership;
        this.selector = selector;
        this.heartbeatContent = heartbeatContent;
        this.out = out;
    }

    /**
     * Processes an event that may concern configuration or membership.
     *
     * @return the documents that came into force through it
     */
    List<ServiceConfiguration> handle(Moment now, Event event) {
        out.addAll(distribution.handle(now, event));
        List<ServiceConfiguration> adopted = adoptNewDocuments(now);
        out.addAll(membership.handle(now, event, heartbeatContent));
        if (event instanceof Event.PeerReceived(NodeName from, Heartbeat heartbeat)) {
            selector.loadReported(now.nanos(), from, heartbeat.load());
        }
        return adopted;
    }

    /** Returns whether an event is a request or an answer; these are by far the most frequent and carry no configuration. */
    boolean carriesWork(Event event) {
        return switch (event) {
            case Event.CallerRequest _, Event.CopyCall _, Event.ExchangeClosed _, Event.CopyAnswered _ -> true;
            case Event.PeerReceived(var from, PeerMessage message) -> carriesWork(message);
            case Event.PeerUnsent _,
                    Event.PeerConnected _,
                    Event.PeerLost _,
                    Event.ConfigurationRead _,
                    Event.ConfigurationUnchanged _,
                    Event.ConfigurationRefused _,
                    Event.ConfigurationReadFailed _,
                    Event.VmListRead _,
                    Event.DrainOrdered _,
                    Event.WakeUp _ -> false;
        };
    }

    private static boolean carriesWork(PeerMessage message) {
        return message instanceof PeerMessage.PeerRequest
                || message instanceof PeerMessage.PeerAnswer
                || message instanceof PeerMessage.CancelAttempt;
    }

    /** Reports requests and answers of a peer to membership, since any message shows that its sender is live. */
    void workReceived(Moment now, Event.PeerReceived received) {
        if (carriesWork(received.message())) {
            out.addAll(membership.handle(now, received, heartbeatContent));
        }
    }

    private List<ServiceConfiguration> adoptNewDocuments(Moment now) {
        List<ServiceConfiguration> adopted = distribution.versions().keySet().stream()
                .map(distribution::inForce)
                .flatMap(Optional::stream)
                .filter(directory::adopt)
                .toList();
        adopted.forEach(document -> selector.updateRoster(now.nanos(), document));
        watchPeers(now);
        return adopted;
    }

    private void watchPeers(Moment now) {
        List<CopyEntry> own = distribution
                .newest(identity.service())
                .map(ServiceConfiguration::copies)
                .orElse(List.of());
        out.addAll(membership.watch(own, selector.selectedCopies()));
    }

    /**
     * Compares the current peer states of membership with the previous ones, and passes changes to routing.
     *
     * @return the nodes that have become suspected
     */
    List<NodeName> refreshStates(Moment now) {
        Map<NodeName, PeerState> current = membership.states(now.nanos());
        if (current.equals(states)) {
            return List.of();
        }
        current.forEach(
                (node, state) -> selector.setUsable(now.nanos(), node, membership.mayGetNewWork(now.nanos(), node)));
        Map<NodeName, PeerState> previous = states;
        states = current;
        return current.entrySet().stream()
                .filter(entry -> entry.getValue() == PeerState.SUSPECTED)
                .map(Map.Entry::getKey)
                .filter(node -> previous.get(node) != PeerState.SUSPECTED)
                .toList();
    }

    boolean readyToServe() {
        return distribution.readyToServe();
    }

    Map<ServiceName, Long> versions() {
        return distribution.versions();
    }

    Map<NodeName, PeerState> states() {
        return states;
    }

    boolean mayGetNewWork(Moment now, NodeName node) {
        return membership.mayGetNewWork(now.nanos(), node);
    }

    /** Returns whether the list of VMs says that this node is leaving, even without an order to stop. */
    boolean isLeaving() {
        return membership.isLeaving();
    }

    boolean connected(NodeName node) {
        PeerState state = states.getOrDefault(node, PeerState.UNREACHABLE);
        return state != PeerState.UNREACHABLE;
    }

    Optional<NodeName> choose(Moment now, ServiceName service, Set<NodeName> excluded, Priority priority) {
        return selector.choose(now.nanos(), service, excluded, priority);
    }

    void sent(Moment now, NodeName peer) {
        selector.sent(now.nanos(), peer);
        membership.sent(now.nanos(), peer);
    }

    void answered(Moment now, NodeName peer, LoadReport load, long latencyNanos) {
        selector.answered(now.nanos(), peer, load, latencyNanos);
    }

    void failed(Moment now, NodeName peer) {
        selector.failed(now.nanos(), peer);
    }

    void withdrawn(Moment now, NodeName peer) {
        selector.cancelled(now.nanos(), peer);
    }

    long nextWakeNanos() {
        return Math.min(distribution.nextWakeNanos(), membership.nextWakeNanos());
    }
}
