package org.carawaysill.policy.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.carawaysill.model.configuration.CopyEntry;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.model.request.RefusalReason;
import org.carawaysill.model.request.Step;
import org.carawaysill.policy.effect.Effect;
import org.carawaysill.policy.effect.PeerState;
import org.carawaysill.policy.event.Event;
import org.carawaysill.policy.message.PeerMessage;
import org.carawaysill.policy.time.Moment;

/**
 * Which nodes this node keeps connections to, what it believes of them, and the heartbeats that it sends.
 *
 * <p>Invariant: a node that announced that it is leaving, or that newly appeared so in the list of VMs, may get no new work
 * until a later process connects under its name. The heartbeats sent per second have a bound that the fleet's size doesn't
 * change. Not thread safe: one thread owns it.
 */
public final class Membership {

    private static final long TICK_NANOS = Duration.ofMillis(250).toNanos();
    private static final long LONGEST_SLEEP_NANOS = Duration.ofSeconds(1).toNanos();

    /**
     * A process that was paused finds every peer silent for the length of its pause, although their messages wait unread;
     * it would suspect all of them at once. After a gap as long as this in its own events, every silence starts anew.
     */
    private static final long OWN_PAUSE_NANOS = 2 * LONGEST_SLEEP_NANOS;

    private final NodeName self;
    private final VmListWatch vmList;
    private final Map<NodeName, CopyEntry> watched = new TreeMap<>();
    private final Map<NodeName, Peer> peers = new TreeMap<>();
    private HeartbeatPlan plan;
    private long sequence;
    private long nextWakeNanos = Long.MIN_VALUE;
    private long lastEventNanos = Long.MAX_VALUE;
    private boolean leaving;

    /**
     * Creates the membership of a node that has just started.
     *
     * @param self this node
     * @param settings how to watch
     * @param random the source of jitter
     */
    public Membership(NodeName self, MembershipSettings settings, RandomGenerator random) {
        this.self = self;
        this.plan = new HeartbeatPlan(settings, Set.of(), 0);
        this.vmList = new VmListWatch(settings.vmListInterval(), random);
    }

    /**
     * Sets the nodes to keep connections to; without a change nothing happens.
     *
     * @param own the nodes of the own service
     * @param called the chosen nodes of the services that this node calls
     * @return connections to open and to close
     */
    public List<Effect> watch(List<CopyEntry> own, List<CopyEntry> called) {
        Map<NodeName, CopyEntry> next = new TreeMap<>();
        own.forEach(copy -> next.put(copy.node(), copy));
        called.forEach(copy -> next.put(copy.node(), copy));
        next.remove(self);
        Set<NodeName> ownService = own.stream().map(CopyEntry::node).collect(Collectors.toSet());
        if (next.equals(watched) && ownService.equals(plan.ownService())) {
            return List.of();
        }
        List<Effect> effects = new ArrayList<>();
        watched.keySet().stream()
                .filter(node -> !next.containsKey(node))
                .map(Effect.DisconnectPeer::new)
                .forEach(effects::add);
        next.values().stream()
                .filter(copy -> !sameAddress(copy, Optional.ofNullable(watched.get(copy.node()))))
                .map(copy -> new Effect.ConnectPeer(copy.node(), copy.host(), copy.peerPort()))
                .forEach(effects::add);
        watched.clear();
        watched.putAll(next);
        replan(ownService);
        return effects;
    }

    private static boolean sameAddress(CopyEntry copy, Optional<CopyEntry> before) {
        return before.filter(entry -> entry.host().equals(copy.host()) && entry.peerPort() == copy.peerPort())
                .isPresent();
    }

    private void replan(Set<NodeName> ownService) {
        peers.entrySet().removeIf(entry -> !entry.getValue().isConnected() && !watched.containsKey(entry.getKey()));
        int others = (int) connectedPeers().stream()
                .filter(node -> !ownService.contains(node))
                .count();
        plan = new HeartbeatPlan(plan.settings(), ownService, others);
        peers.forEach((node, peer) -> peer.detectBy(plan.detector(node)));
    }

    /**
     * Takes in an event; those that don't concern membership change nothing.
     *
     * @param now the moment
     * @param event what happened; the first one starts the work
     * @param content what heartbeats say
     * @return what to do
     */
    public List<Effect> handle(Moment now, Event event, HeartbeatContent content) {
        forgiveOwnPause(now.nanos());
        List<Effect> effects = new ArrayList<>();
        switch (event) {
            case Event.PeerConnected peer -> {
                peer(peer.peer()).connected(now.nanos(), peer.incarnation());
                replan(plan.ownService());
                effects.addAll(signOfLife(now.nanos(), peer.peer(), content));
                showChange(now.nanos(), peer.peer(), effects);
            }
            case Event.PeerLost lost -> {
                peer(lost.peer()).lost();
                showChange(now.nanos(), lost.peer(), effects);
                replan(plan.ownService());
            }
            case Event.PeerReceived received -> received(now.nanos(), received, effects);
            case Event.VmListRead read -> listed(now.nanos(), read, content, effects);
            case Event.DrainOrdered _ -> effects.addAll(leave(now.nanos(), content));
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
        if (now.nanos() >= nextWakeNanos) {
            effects.addAll(wakeUp(now.nanos(), content));
        }
        return effects;
    }

    private void forgiveOwnPause(long now) {
        if (lastEventNanos != Long.MAX_VALUE && now - lastEventNanos > OWN_PAUSE_NANOS) {
            peers.values().forEach(peer -> peer.heard(now));
        }
        lastEventNanos = now;
    }

    private void received(long now, Event.PeerReceived received, List<Effect> effects) {
        Peer peer = peer(received.from());
        peer.heard(now);
        if (tellsLeaving(received.from(), received.message())) {
            peer.leaving();
        }
        showChange(now, received.from(), effects);
    }

    /**
     * A drain notice may be lost with its connection; a node that leaves then still refuses work for that reason, so that
     * whoever missed the notice learns it from its first request.
     */
    private static boolean tellsLeaving(NodeName from, PeerMessage message) {
        if (message instanceof PeerMessage.PeerAnswer answer && answer.outcome() instanceof Outcome.NotRun notRun) {
            return notRun.reason() == RefusalReason.DRAINING
                    && notRun.peer().map(from::equals).orElse(true);
        }
        return message instanceof PeerMessage.DrainNotice;
    }

    private void listed(long now, Event.VmListRead read, HeartbeatContent content, List<Effect> effects) {
        boolean first = !vmList.readBefore();
        for (NodeName node : vmList.newlyLeaving(read.list())) {
            if (node.equals(self)) {
                // The first list may still show the VM that had this name before; only a change concerns this process.
                effects.addAll(first ? List.of() : leave(now, content));
            } else if (peers.containsKey(node) || watched.containsKey(node)) {
                peer(node).leaving();
                showChange(now, node, effects);
            }
        }
    }

    private List<Effect> leave(long now, HeartbeatContent content) {
        if (leaving) {
            return List.of();
        }
        leaving = true;
        List<Effect> effects = new ArrayList<>();
        effects.add(new Effect.LogChange(Step.DRAIN, self, "this node is leaving"));
        connectedPeers().forEach(node -> effects.addAll(signOfLife(now, node, content)));
        return effects;
    }

    private List<Effect> wakeUp(long now, HeartbeatContent content) {
        List<Effect> effects = new ArrayList<>();
        long next = vmList.nextWakeNanos();
        for (NodeName node : connectedPeers()) {
            if (now >= nextHeartbeatNanos(node)) {
                effects.addAll(signOfLife(now, node, content));
            }
            showChange(now, node, effects);
            next = Math.min(next, nextHeartbeatNanos(node));
        }
        if (vmList.takeDue(now)) {
            effects.add(new Effect.ReadVmList());
        }
        nextWakeNanos = Math.clamp(next, now + TICK_NANOS, now + LONGEST_SLEEP_NANOS);
        return effects;
    }

    private long nextHeartbeatNanos(NodeName node) {
        return peer(node).nextHeartbeatNanos(plan.silenceNanos(node), plan.longestNanos(node));
    }

    /** A heartbeat, and while this node is leaving the drain notice again, since any one of them may be lost. */
    private List<Effect> signOfLife(long now, NodeName node, HeartbeatContent content) {
        sequence++;
        peer(node).sentHeartbeat(now);
        Effect heartbeat = new Effect.SendToPeer(
                node, new PeerMessage.Heartbeat(sequence, content.load(), content.versionsFor(node)));
        return leaving
                ? List.of(new Effect.SendToPeer(node, new PeerMessage.DrainNotice()), heartbeat)
                : List.of(heartbeat);
    }

    private void showChange(long now, NodeName node, List<Effect> effects) {
        if (peer(node).changed(now) && watched.containsKey(node)) {
            String line = node + " is now " + peer(node).state(now).name().toLowerCase(Locale.ROOT);
            effects.add(new Effect.LogChange(Step.MEMBERSHIP, node, line));
        }
    }

    private Peer peer(NodeName node) {
        return peers.computeIfAbsent(node, name -> new Peer(plan.detector(name)));
    }

    private List<NodeName> connectedPeers() {
        return peers.entrySet().stream()
                .filter(entry -> entry.getValue().isConnected())
                .map(Map.Entry::getKey)
                .toList();
    }

    /**
     * Tells that a message was sent, so that no heartbeat is needed for a while.
     *
     * @param now nanoseconds on the monotonic clock
     * @param node the receiver
     */
    public void sent(long now, NodeName node) {
        if (peers.containsKey(node)) {
            peer(node).sent(now);
        }
    }

    /**
     * Tells whether a node may get new work.
     *
     * @param now nanoseconds on the monotonic clock
     * @param node the node
     * @return whether it is connected, not suspected and not leaving
     */
    public boolean mayGetNewWork(long now, NodeName node) {
        return peers.containsKey(node) && peer(node).state(now) == PeerState.LIVE;
    }

    /**
     * Tells whether this node itself is leaving: its operator ordered it, or the list of VMs says so.
     *
     * @return whether it should refuse new work
     */
    public boolean isLeaving() {
        return leaving;
    }

    /**
     * Gives the state of each watched node.
     *
     * @param now nanoseconds on the monotonic clock
     * @return the state by node
     */
    public Map<NodeName, PeerState> states(long now) {
        Map<NodeName, PeerState> states = new TreeMap<>();
        watched.keySet().forEach(node -> states.put(node, peer(node).state(now)));
        return states;
    }

    /**
     * Tells when to wake it if nothing happens before.
     *
     * @return nanoseconds on the monotonic clock
     */
    public long nextWakeNanos() {
        return nextWakeNanos;
    }
}
