package org.carawaysill.policy.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.carawaysill.model.configuration.CopyEntry;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.vm.VmState;
import org.carawaysill.policy.detection.FixedTimeout;
import org.carawaysill.policy.effect.Effect;
import org.carawaysill.policy.effect.PeerState;
import org.carawaysill.policy.event.Event;
import org.carawaysill.policy.message.PeerMessage;
import org.carawaysill.policy.time.Moment;

/**
 * What this node believes of the nodes that it watches.
 *
 * <p>Invariant: a node that announced that it is leaving, or is listed so, may get no new work until a new process
 * connects under its name. Not thread safe: one thread owns it.
 */
public final class Membership {

    private final NodeName self;
    private final MembershipSettings settings;
    private final Map<NodeName, CopyEntry> wanted = new TreeMap<>();
    private final Map<NodeName, FixedTimeout> connected = new HashMap<>();
    private final Set<NodeName> leaving = new HashSet<>();
    private long sequence;
    private long nextHeartbeatNanos = Long.MIN_VALUE;
    private boolean draining;

    /**
     * Creates the membership of a node that has just started.
     *
     * @param self this node
     * @param settings how to watch
     * @param random the source of jitter
     */
    public Membership(NodeName self, MembershipSettings settings, RandomGenerator random) {
        this.self = self;
        this.settings = settings;
    }

    /**
     * Sets the nodes to keep connections to.
     *
     * @param now the moment
     * @param own the nodes of the own service
     * @param called the chosen nodes of the services that this node calls
     * @return connections to open and to close
     */
    public List<Effect> watch(Moment now, List<CopyEntry> own, List<CopyEntry> called) {
        List<Effect> effects = new ArrayList<>();
        Map<NodeName, CopyEntry> next = new TreeMap<>();
        own.forEach(copy -> next.put(copy.node(), copy));
        called.forEach(copy -> next.put(copy.node(), copy));
        next.remove(self);
        wanted.keySet().stream()
                .filter(node -> !next.containsKey(node))
                .map(Effect.DisconnectPeer::new)
                .forEach(effects::add);
        next.values().stream()
                .filter(copy -> !copy.equals(wanted.get(copy.node())))
                .map(copy -> new Effect.ConnectPeer(copy.node(), copy.host(), copy.peerPort()))
                .forEach(effects::add);
        wanted.clear();
        wanted.putAll(next);
        return effects;
    }

    /**
     * Takes in an event; those that don't concern membership change nothing.
     *
     * @param now the moment
     * @param event what happened
     * @param content what heartbeats say
     * @return what to do
     */
    public List<Effect> handle(Moment now, Event event, HeartbeatContent content) {
        List<Effect> effects = new ArrayList<>();
        switch (event) {
            case Event.PeerConnected peer -> {
                leaving.remove(peer.peer());
                heard(now.nanos(), peer.peer());
                effects.add(heartbeat(peer.peer(), content));
            }
            case Event.PeerLost peer -> connected.remove(peer.peer());
            case Event.PeerReceived received -> {
                heard(now.nanos(), received.from());
                if (received.message() instanceof PeerMessage.DrainNotice) {
                    leaving.add(received.from());
                }
            }
            case Event.VmListRead read ->
                read.list().states().forEach((node, state) -> {
                    if (state == VmState.LEAVING) {
                        leaving.add(node);
                    }
                });
            case Event.DrainOrdered _ -> {
                draining = true;
                connected.keySet().forEach(peer -> effects.add(drainNotice(peer)));
            }
            case Event.WakeUp _,
                    Event.CallerRequest _,
                    Event.CopyCall _,
                    Event.ExchangeClosed _,
                    Event.CopyAnswered _,
                    Event.PeerUnsent _,
                    Event.ConfigurationRead _,
                    Event.ConfigurationUnchanged _,
                    Event.ConfigurationRefused _,
                    Event.ConfigurationReadFailed _ -> {}
        }
        sendHeartbeats(now, content, effects);
        return effects;
    }

    private void heard(long now, NodeName peer) {
        connected
                .computeIfAbsent(peer, _ -> new FixedTimeout(settings.suspicionTimeout()))
                .heartbeat(now);
    }

    private void sendHeartbeats(Moment now, HeartbeatContent content, List<Effect> effects) {
        if (now.nanos() < nextHeartbeatNanos) {
            return;
        }
        nextHeartbeatNanos = now.nanos() + settings.heartbeatInterval().toNanos();
        for (NodeName peer : connected.keySet()) {
            effects.add(heartbeat(peer, content));
            if (draining) {
                effects.add(drainNotice(peer));
            }
        }
    }

    private Effect heartbeat(NodeName peer, HeartbeatContent content) {
        sequence++;
        return new Effect.SendToPeer(
                peer, new PeerMessage.Heartbeat(sequence, content.load(), content.versionsFor(peer)));
    }

    private static Effect drainNotice(NodeName peer) {
        return new Effect.SendToPeer(peer, new PeerMessage.DrainNotice());
    }

    /**
     * Tells that a message that shows life and load was sent, so that no heartbeat is needed for a while.
     *
     * @param now nanoseconds on the monotonic clock
     * @param peer the receiver
     */
    public void sent(long now, NodeName peer) {}

    /**
     * Tells whether a node may get new work.
     *
     * @param now nanoseconds on the monotonic clock
     * @param peer the node
     * @return whether it is connected, not suspected and not leaving
     */
    public boolean mayGetNewWork(long now, NodeName peer) {
        return state(now, peer) == PeerState.LIVE;
    }

    private PeerState state(long now, NodeName peer) {
        FixedTimeout detector = connected.get(peer);
        if (leaving.contains(peer)) {
            return PeerState.LEAVING;
        }
        if (detector == null) {
            return PeerState.UNREACHABLE;
        }
        return detector.suspects(now) ? PeerState.SUSPECTED : PeerState.LIVE;
    }

    /**
     * Gives the state of each watched node.
     *
     * @param now nanoseconds on the monotonic clock
     * @return the state by node
     */
    public Map<NodeName, PeerState> states(long now) {
        Map<NodeName, PeerState> states = new TreeMap<>();
        wanted.keySet().forEach(node -> states.put(node, state(now, node)));
        return states;
    }

    /**
     * Tells when to wake it if nothing happens before.
     *
     * @return nanoseconds on the monotonic clock
     */
    public long nextWakeNanos() {
        return nextHeartbeatNanos;
    }
}
