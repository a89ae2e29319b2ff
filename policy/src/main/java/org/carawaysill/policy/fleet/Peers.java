package org.carawaysill.policy.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.policy.message.PeerMessage;
import org.carawaysill.policy.message.PeerMessage.NodeReport;
import org.carawaysill.policy.time.Nanos;

/**
 * The connections to other nodes, and which of them are responsive.
 *
 * <p>Idle connections are not watched. After a message that the other node answers, a connection is watched until
 * anything arrives. Not thread safe: owned by the policy.
 */
final class Peers {

    static final Duration REPORT_INTERVAL = Duration.ofMillis(400);

    /** How long after a request the other node is probed: most answers come earlier and need no extra message. */
    private static final Duration PROBE_AFTER = Duration.ofMillis(200);

    /**
     * How long a node may be silent before it is suspected: the operating system resends a lost packet within about 200
     * ms, and the answer to it comes within this time.
     */
    static final Duration SUSPECT_AFTER = Duration.ofMillis(1200);

    /**
     * The minimum interval between probes of all idle connections, which start when one connection turns out to be
     * silent.
     */
    private static final Duration IDLE_PROBES_APART = Duration.ofSeconds(10);

    /**
     * How long a node may be silent before its connection is reset and the requests waiting on it count as lost. Guards
     * against a connection that goes silent without a reset: requests on it would time out one after the other while a
     * new connection would work.
     */
    static final Duration RESET_AFTER = Duration.ofMillis(2200);

    /** How long the connection to an unpublished node is kept, so that the node can finish its requests. */
    private static final Duration FORGET_AFTER = Duration.ofSeconds(20);

    /**
     * How long after its notice a leaving node still gets work that no other node can take. It ends a second after its
     * notice at the earliest, and everything sent to it must have arrived by then.
     */
    private static final Duration LAST_RESORT = Duration.ofMillis(400);

    private final NodeName self;
    private final Effects effects;
    private final Map<NodeName, Peer> known = new HashMap<>();
    private long nextIdleProbeNanos = Long.MIN_VALUE;

    Peers(NodeName self, Effects effects) {
        this.self = self;
        this.effects = effects;
    }

    /** Updates the set of published nodes, which are the nodes of all copies. */
    void published(long now, Set<String> hosts) {
        for (String host : hosts) {
            NodeName name = new NodeName(host);
            if (!name.equals(self)) {
                want(name);
            }
        }
        known.forEach((name, peer) -> {
            if (!hosts.contains(name.value())) {
                peer.missingNanos = Math.min(peer.missingNanos, now);
            }
        });
    }

    private void want(NodeName name) {
        Peer peer = peer(name);
        peer.missingNanos = Long.MAX_VALUE;
        if (!peer.wanted) {
            peer.wanted = true;
            effects.add(new FleetEffect.ConnectPeer(name));
        }
    }

    private void forgetMissing(long now) {
        for (Map.Entry<NodeName, Peer> entry : new ArrayList<>(known.entrySet())) {
            Peer peer = entry.getValue();
            if (peer.wanted && now - FORGET_AFTER.toNanos() > peer.missingNanos) {
                peer.wanted = false;
                effects.add(new FleetEffect.DisconnectPeer(entry.getKey()));
                if (!peer.connected) {
                    known.remove(entry.getKey());
                }
            }
        }
    }

    private Peer peer(NodeName name) {
        return known.computeIfAbsent(name, _ -> new Peer());
    }

    void connected(long now, NodeName name) {
        Peer peer = peer(name);
        peer.connected = true;
        peer.heard(now);
        peer.suspected = false;
        peer.leaving = false;
        effects.log(new Decision.DependencyChanged(
                "node " + name, "connected", "peers=" + connected().size()));
    }

    void lost(NodeName name) {
        Peer peer = peer(name);
        peer.connected = false;
        peer.readsPlatform = false;
        effects.log(new Decision.DependencyChanged(
                "node " + name, "lost", "peers=" + connected().size()));
    }

    void heard(long now, NodeName name) {
        Peer peer = peer(name);
        peer.heard(now);
        if (peer.suspected) {
            peer.suspected = false;
            effects.log(new Decision.DependencyChanged(
                    "node " + name, "heard_again", "peers=" + connected().size()));
        }
    }

    void reported(long now, NodeName name, NodeReport report) {
        Peer peer = peer(name);
        peer.readsPlatform = report.readsPlatform();
        if (report.leaving() && !peer.leaving) {
            peer.leaving = true;
            peer.leavingNanos = now;
        }
    }

    /** Notes that a message was sent that the other node answers. */
    void asked(long now, NodeName name) {
        peer(name).awaits(now);
    }

    /** Notes that this process was paused, so that the silence of other nodes says nothing about them. */
    void paused(long now) {
        known.values().stream().filter(Peer::isAwaited).forEach(peer -> peer.awaitedNanos = now);
    }

    /**
     * Suspects and resets silent connections, and disconnects nodes that have been unpublished for long.
     *
     * @param waitedFor the nodes with a pending reply
     */
    void passTime(long now, Set<NodeName> waitedFor) {
        forgetMissing(now);
        waitedFor.forEach(name -> peer(name).stillAwaits(now));
        known.forEach((name, peer) -> watch(now, name, peer));
    }

    private void watch(long now, NodeName name, Peer peer) {
        if (!peer.connected || !peer.isAwaited()) {
            return;
        }
        long silent = now - peer.awaitedNanos;
        if (silent > PROBE_AFTER.toNanos() && !peer.probed) {
            probe(now, name, peer);
        }
        if (silent > SUSPECT_AFTER.toNanos() && !peer.suspected) {
            peer.suspected = true;
            effects.log(
                    new Decision.DependencyChanged("node " + name, "suspected", "silent_ms=" + Nanos.toMillis(silent)));
            probeIdle(now);
        }
        if (silent > RESET_AFTER.toNanos()) {
            peer.awaitedNanos = now;
            effects.add(new FleetEffect.ResetPeer(name));
        }
    }

    private void probe(long now, NodeName name, Peer peer) {
        peer.awaits(now);
        peer.probed = true;
        effects.add(new FleetEffect.SendToPeer(name, new PeerMessage.ReportWanted()));
    }

    /**
     * Probes the connections on which no answer is expected.
     *
     * <p>Guards against many connections that went silent at once, for example behind a link that drops their state:
     * each would be discovered only by the requests lost on it, and each node has a connection to every other node.
     */
    private void probeIdle(long now) {
        if (now < nextIdleProbeNanos) {
            return;
        }
        nextIdleProbeNanos = now + IDLE_PROBES_APART.toNanos();
        known.forEach((name, peer) -> {
            if (peer.connected && !peer.isAwaited() && !peer.isHeardLately(now)) {
                probe(now, name, peer);
            }
        });
    }

    /** Returns whether the connection to a node is responsive and the node accepts new work. */
    boolean inTouch(NodeName name) {
        Peer peer = known.get(name);
        return peer != null && peer.isHeard() && !peer.leaving;
    }

    /** Returns whether a node sent something so recently that no summary is needed to confirm that it lives. */
    boolean isHeardLately(long now, NodeName name) {
        Peer peer = known.get(name);
        return peer != null && peer.isHeardLately(now);
    }

    /** Returns whether a reachable node has announced its planned stop so recently that it still accepts work. */
    boolean isJustLeaving(long now, NodeName name) {
        Peer peer = known.get(name);
        return peer != null && peer.isHeard() && peer.leaving && now - peer.leavingNanos < LAST_RESORT.toNanos();
    }

    List<NodeName> connected() {
        List<NodeName> names = new ArrayList<>();
        known.forEach((name, peer) -> {
            if (peer.connected) {
                names.add(name);
            }
        });
        return names;
    }

    /** Returns whether a node is reachable and last reported that it can read the platform. */
    boolean readsPlatform(NodeName name) {
        return inTouch(name) && known.get(name).readsPlatform;
    }

    /** Returns the number of nodes, including this one. */
    int count() {
        Set<NodeName> wanted = new HashSet<>();
        known.forEach((name, peer) -> {
            if (peer.wanted) {
                wanted.add(name);
            }
        });
        return wanted.size() + 1;
    }

    private static final class Peer {

        private static final long NOTHING = Long.MAX_VALUE;

        private boolean wanted;
        private boolean connected;
        private boolean suspected;
        private boolean leaving;
        private boolean readsPlatform;
        private boolean probed;
        private long leavingNanos;
        private long heardNanos;
        private long awaitedNanos = NOTHING;
        private long missingNanos = Long.MAX_VALUE;

        private boolean isHeard() {
            return connected && !suspected;
        }

        private boolean isHeardLately(long now) {
            return now - heardNanos < SUSPECT_AFTER.toNanos();
        }

        private boolean isAwaited() {
            return awaitedNanos != NOTHING;
        }

        private void heard(long now) {
            heardNanos = now;
            awaitedNanos = NOTHING;
            probed = false;
        }

        /** Starts the wait for an answer; with several unanswered messages, it starts at the first of them. */
        private void awaits(long now) {
            if (!isAwaited()) {
                awaitedNanos = now;
            }
        }

        /**
         * Resumes the wait for a pending answer if another message ended the wait and the node has been silent since.
         */
        private void stillAwaits(long now) {
            if (now - heardNanos > REPORT_INTERVAL.toNanos()) {
                awaits(heardNanos);
            }
        }
    }
}
