package org.carawaysill.policy.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.policy.message.PeerMessage.NodeReport;
import org.carawaysill.policy.time.Nanos;

/**
 * The other nodes, and which of them can be reached.
 *
 * <p>Each node tells all others a report every {@link #REPORT_INTERVAL}; a connection on which none comes carries nothing.
 * Not thread safe: owned by the policy.
 */
final class Peers {

    static final Duration REPORT_INTERVAL = Duration.ofMillis(400);

    /** Two reports missed in a row: a lost packet is sent again by the operating system within about 200 ms. */
    static final Duration SUSPECT_AFTER = Duration.ofMillis(1200);

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

    Peers(NodeName self, Effects effects) {
        this.self = self;
        this.effects = effects;
    }

    /** Takes in which nodes are published: those beside all copies. */
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
        peer.heardNanos = now;
        peer.suspected = false;
        peer.leaving = false;
        effects.log(new Decision.DependencyChanged(
                "node " + name, "connected", "peers=" + connected().size()));
    }

    void lost(NodeName name) {
        Peer peer = peer(name);
        peer.connected = false;
        peer.report = Optional.empty();
        effects.log(new Decision.DependencyChanged(
                "node " + name, "lost", "peers=" + connected().size()));
    }

    void heard(long now, NodeName name) {
        Peer peer = peer(name);
        peer.heardNanos = now;
        if (peer.suspected) {
            peer.suspected = false;
            effects.log(new Decision.DependencyChanged(
                    "node " + name, "heard_again", "peers=" + connected().size()));
        }
    }

    void reported(long now, NodeName name, NodeReport report) {
        Peer peer = peer(name);
        peer.report = Optional.of(peer.report.map(report::completedBy).orElse(report));
        if (report.leaving() && !peer.leaving) {
            peer.leaving = true;
            peer.leavingNanos = now;
        }
    }

    /** Notes that this process was paused, so that the silence says nothing about the others. */
    void paused(long now) {
        known.values().forEach(peer -> peer.heardNanos = now);
    }

    /** Suspects and resets what is silent, and lets go of what has not been published for long. */
    void passTime(long now) {
        forgetMissing(now);
        known.forEach((name, peer) -> {
            long silent = now - peer.heardNanos;
            if (peer.connected && !peer.suspected && silent > SUSPECT_AFTER.toNanos()) {
                peer.suspected = true;
                effects.log(new Decision.DependencyChanged(
                        "node " + name, "suspected", "silent_ms=" + Nanos.toMillis(silent)));
            }
            if (peer.connected && silent > RESET_AFTER.toNanos()) {
                peer.heardNanos = now;
                effects.add(new FleetEffect.ResetPeer(name));
            }
        });
    }

    boolean inReach(NodeName name) {
        if (name.equals(self)) {
            return true;
        }
        Peer peer = known.get(name);
        return peer != null && peer.isHeard() && !peer.leaving;
    }

    /** Tells whether a node can be reached that has said it leaves, and may still take work. */
    boolean inReachAsLastResort(long now, NodeName name) {
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

    /** The latest reports of the nodes that can be reached. */
    Collection<NodeReport> reports() {
        List<NodeReport> reports = new ArrayList<>();
        known.values().forEach(peer -> {
            if (peer.isHeard()) {
                peer.report.ifPresent(reports::add);
            }
        });
        return reports;
    }

    /** Tells whether a node can be reached and said last that it can read the platform. */
    boolean readsPlatform(NodeName name) {
        Peer peer = known.get(name);
        return peer != null
                && peer.isHeard()
                && !peer.leaving
                && peer.report.filter(NodeReport::readsPlatform).isPresent();
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

        private boolean wanted;
        private boolean connected;
        private boolean suspected;
        private boolean leaving;
        private long leavingNanos;
        private long heardNanos;
        private long missingNanos = Long.MAX_VALUE;
        private Optional<NodeReport> report = Optional.empty();

        private boolean isHeard() {
            return connected && !suspected;
        }
    }
}
