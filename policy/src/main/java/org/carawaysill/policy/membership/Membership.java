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
 * Decides which nodes to connect to, tracks their states, and sends heartbeats to them.
 *
 * <p>Invariant: a node that announced that it is leaving, or that the list of VMs newly shows as leaving, gets no new
 * work until a later process connects under its name. The number of heartbeats sent per second has an upper bound that
 * doesn't depend on the size of the fleet. Not thread safe: one thread owns it.
 */
public final class Membership {

    private static final long TICK_NANOS = Duration.ofMillis(250).toNanos();
    private static final long LONGEST_SLEEP_NANOS = Duration.ofSeconds(1).toNanos();

    /**
     * A gap between this node's own events that counts as a pause of its process. After a pause every peer seems to
     * have been silent, although its messages wait unread, and all peers would be suspected at once. After such a gap,
     * the silence of each peer is therefore measured anew.
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
     * Creates the membership of a starting node.
     *
     * @param self this node
     * @param settings the heartbeat intervals and timeouts
     * @param random the source of jitter
     */
    public Membership(NodeName self, MembershipSettings settings, RandomGenerator random) {
        this.self = self;
        this.plan = new HeartbeatPlan(settings, Set.of(), 0);
        this.vmList = new VmListWatch(settings.vmListInterval(), random);
    }

    /**
     * Sets the nodes to keep connections to. Has no effect if they are unchanged.
     *
     * @param own the nodes of this node's service
     * @param called the selected nodes of the services that this node calls
     * @return the connections to open and to close
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
        updateHeartbeatPlan(ownService);
        return effects;
    }

    private static boolean sameAddress(CopyEntry copy, Optional<CopyEntry> before) {
        return before.filter(entry -> entry.host().equals(copy.host()) && entry.peerPort() == copy.peerPort())
                .isPresent();
    }

    private void updateHeartbeatPlan(Set<NodeName> ownService) {
        peers.entrySet().removeIf(entry -> !entry.getValue().isConnected() && !watched.containsKey(entry.getKey()));
        int others = (int) connectedPeers().stream()
                .filter(node -> !ownService.contains(node))
                .count();
        plan = new HeartbeatPlan(plan.settings(), ownService, others);
        peers.forEach((node, peer) -> peer.replaceDetector(plan.detector(node)));
    }

    /**
     * Handles an event. Any event, also one that doesn't concern membership, triggers the heartbeats and the read of
     * the list of VMs that are due.
     *
     * @param now the time of the event
     * @param event the event; the first one starts the heartbeats and the reads of the list of VMs
     * @param content supplies the data that heartbeats carry
     * @return the effects to perform
     */
    public List<Effect> handle(Moment now, Event event, HeartbeatContent content) {
        resetSilencesAfterOwnPause(now.nanos());
        List<Effect> effects = new ArrayList<>();
        switch (event) {
            case Event.PeerConnected peer -> {
                peer(peer.peer()).connected(now.nanos(), peer.incarnation());
                updateHeartbeatPlan(plan.ownService());
                effects.addAll(heartbeatMessages(now.nanos(), peer.peer(), content));
                logStateChange(now.nanos(), peer.peer(), effects);
            }
            case Event.PeerLost lost -> {
                peer(lost.peer()).disconnected();
                logStateChange(now.nanos(), lost.peer(), effects);
                updateHeartbeatPlan(plan.ownService());
            }
            case Event.PeerReceived received -> handlePeerMessage(now.nanos(), received, effects);
            case Event.VmListRead read -> handleVmList(now.nanos(), read, content, effects);
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

    private void resetSilencesAfterOwnPause(long now) {
        if (lastEventNanos != Long.MAX_VALUE && now - lastEventNanos > OWN_PAUSE_NANOS) {
            peers.values().forEach(peer -> peer.messageReceived(now));
        }
        lastEventNanos = now;
    }

    private void handlePeerMessage(long now, Event.PeerReceived received, List<Effect> effects) {
        Peer peer = peer(received.from());
        peer.messageReceived(now);
        if (announcesLeaving(received.from(), received.message())) {
            peer.leaving();
        }
        logStateChange(now, received.from(), effects);
    }

    /**
     * Tells whether a message shows that its sender is leaving. A drain notice may be lost with its connection. A
     * leaving node also refuses work as draining, so a peer that missed the notice learns of it from the answer to its
     * next request.
     */
    private static boolean announcesLeaving(NodeName from, PeerMessage message) {
        if (message instanceof PeerMessage.PeerAnswer answer && answer.outcome() instanceof Outcome.NotRun notRun) {
            return notRun.reason() == RefusalReason.DRAINING
                    && notRun.peer().map(from::equals).orElse(true);
        }
        return message instanceof PeerMessage.DrainNotice;
    }

    private void handleVmList(long now, Event.VmListRead read, HeartbeatContent content, List<Effect> effects) {
        boolean first = !vmList.hasBeenRead();
        for (NodeName node : vmList.newlyLeaving(read.list())) {
            if (node.equals(self)) {
                // The first list may still show an earlier VM of this name; only a later change refers to this process.
                effects.addAll(first ? List.of() : leave(now, content));
            } else if (peers.containsKey(node) || watched.containsKey(node)) {
                peer(node).leaving();
                logStateChange(now, node, effects);
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
        connectedPeers().forEach(node -> effects.addAll(heartbeatMessages(now, node, content)));
        return effects;
    }

    private List<Effect> wakeUp(long now, HeartbeatContent content) {
        List<Effect> effects = new ArrayList<>();
        long next = vmList.nextWakeNanos();
        for (NodeName node : connectedPeers()) {
            if (now >= nextHeartbeatNanos(node)) {
                effects.addAll(heartbeatMessages(now, node, content));
            }
            logStateChange(now, node, effects);
            next = Math.min(next, nextHeartbeatNanos(node));
        }
        if (vmList.startReadIfDue(now)) {
            effects.add(new Effect.ReadVmList());
        }
        nextWakeNanos = Math.clamp(next, now + TICK_NANOS, now + LONGEST_SLEEP_NANOS);
        return effects;
    }

    private long nextHeartbeatNanos(NodeName node) {
        return peer(node).nextHeartbeatNanos(plan.maximumSilenceNanos(node), plan.maximumIntervalNanos(node));
    }

    /** Creates a heartbeat. While this node is leaving, repeats the drain notice too, because each one may be lost. */
    private List<Effect> heartbeatMessages(long now, NodeName node, HeartbeatContent content) {
        sequence++;
        peer(node).sentHeartbeat(now);
        Effect heartbeat = new Effect.SendToPeer(
                node, new PeerMessage.Heartbeat(sequence, content.load(), content.versionsFor(node)));
        return leaving
                ? List.of(new Effect.SendToPeer(node, new PeerMessage.DrainNotice()), heartbeat)
                : List.of(heartbeat);
    }

    private void logStateChange(long now, NodeName node, List<Effect> effects) {
        if (peer(node).stateChanged(now) && watched.containsKey(node)) {
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
     * Records that a message was sent, which postpones the next heartbeat to that node.
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
     * @return true if it is connected, not suspected and not leaving
     */
    public boolean mayGetNewWork(long now, NodeName node) {
        return peers.containsKey(node) && peer(node).state(now) == PeerState.LIVE;
    }

    /**
     * Tells whether this node itself is leaving, by order of its operator or according to the list of VMs.
     *
     * @return true if this node should refuse new work
     */
    public boolean isLeaving() {
        return leaving;
    }

    /**
     * Returns the state of each watched node.
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
     * Returns the time of the next wake-up if no event comes before.
     *
     * @return nanoseconds on the monotonic clock
     */
    public long nextWakeNanos() {
        return nextWakeNanos;
    }
}
