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
 * The connections to other nodes, and which of them carry something.
 *
 * <p>Idle connections are silent: a connection is watched from the moment at which something is sent on it that the other
 * node answers, until anything comes back. Not thread safe: owned by the policy.
 */
final class Peers {

    static final Duration REPORT_INTERVAL = Duration.ofMillis(400);

    /**
     * How long after a request the other node is asked for a sign of life: most answers come before, and cost no message
     * more.
     */
    private static final Duration PROBE_AFTER = Duration.ofMillis(200);

    /** A lost packet is sent again by the operating system within about 200 ms, and what it carried is answered then. */
    static final Duration SUSPECT_AFTER = Duration.ofMillis(1200);

    /** How often idle connections are tried at the most, as soon as one turned out to be silent. */
    private static final Duration IDLE_PROBES_APART = Duration.ofSeconds(10);

    /**
     * Guards against a connection that goes silent without a reset, which shows as requests that time out one after the
     * other while a new connection would work: it is given up, and what waits on it is known to be lost.
     */
    static final Duration RESET_AFTER = Duration.ofMillis(2200);

    /** A node that is published no more may still finish its requests for so long. */
    private static final Duration FORGET_AFTER = Duration.ofSeconds(20);

    /**
     * How long after its notice a leaving node still takes work that nobody else can take. It ends a second after it at the
     * earliest, and what it was sent must have arrived by then.
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

    /** Receives which nodes are published: those beside all copies. */
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

    /** Notes that something was sent that the other node answers. */
    void asked(long now, NodeName name) {
        peer(name).awaits(now);
    }

    /** Notes that this process was paused, so that the silence says nothing about the others. */
    void paused(long now) {
        known.values().stream().filter(Peer::isAwaited).forEach(peer -> peer.awaitedNanos = now);
    }

    /**
     * Suspects and resets what is silent, and lets go of what has not been published for long.
     *
     * @param waitedFor the nodes that still owe an answer
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
     * Tries the connections on which nothing is expected.
     *
     * <p>Guards against many connections that went silent at once, as behind a link that forgets them: each would be found
     * only by requests that are lost on it, and each node has one to all others.
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

    /** Returns whether a connection carries something, by all that was seen here, and its node takes new work. */
    boolean inTouch(NodeName name) {
        Peer peer = known.get(name);
        return peer != null && peer.isHeard() && !peer.leaving;
    }

    /** Returns whether something came from a node so lately that nobody else needs to say that it lives. */
    boolean isHeardLately(long now, NodeName name) {
        Peer peer = known.get(name);
        return peer != null && peer.isHeardLately(now);
    }

    /** Returns whether a node can be reached that has said it leaves, and may still take work. */
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

    /** Returns whether a node can be reached and last said itself that it can read the platform. */
    boolean readsPlatform(NodeName name) {
        return inTouch(name) && known.get(name).readsPlatform;
    }

    /** How many nodes there are, this one included. */
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

        /** Counts from the first of several messages without an answer. */
        private void awaits(long now) {
            if (!isAwaited()) {
                awaitedNanos = now;
            }
        }

        /** Something else that came did not end the wait for an answer. */
        private void stillAwaits(long now) {
            if (now - heardNanos > REPORT_INTERVAL.toNanos()) {
                awaits(heardNanos);
            }
        }
    }
}
