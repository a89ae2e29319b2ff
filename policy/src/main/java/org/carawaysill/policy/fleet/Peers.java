package org.carawaysill.policy.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
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
    private static final Duration IDLE_PROBE_INTERVAL = Duration.ofSeconds(10);

    /**
     * How long a node may be silent before its connection is reset and the requests waiting on it count as lost. Guards
     * against a connection that goes silent without a reset: requests on it would time out one after the other while a
     * new connection would work.
     */
    static final Duration RESET_AFTER = Duration.ofMillis(2200);

    /** How long the connection to an unpublished node is kept, so that the node can finish its requests. */
    private static final Duration FORGET_AFTER = Duration.ofSeconds(20);

    /**
     * How long the connection to an unpublished node is kept at most, while one of the two nodes has requests at the
     * other. Guards against connections that are dialled for ever, for requests that never end.
     */
    private static final Duration FORGET_BUSY_AFTER = Duration.ofSeconds(60);

    /**
     * How long after its notice a leaving node still gets work that no other node can take. It ends a second after its
     * notice at the earliest, and everything sent to it must have arrived by then.
     */
    private static final Duration LAST_RESORT_PERIOD = Duration.ofMillis(400);

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
                connect(name);
            }
        }
        known.forEach((name, peer) -> {
            if (!hosts.contains(name.value())) {
                peer.missingNanos = Math.min(peer.missingNanos, now);
            }
        });
    }

    private void connect(NodeName name) {
        Peer peer = peer(name);
        peer.missingNanos = Long.MAX_VALUE;
        if (!peer.wanted) {
            peer.wanted = true;
            effects.add(new FleetEffect.ConnectPeer(name));
        }
    }

    /**
     * Disconnects nodes that have been unpublished for long. Guards against the end of a run of a node that serves its
     * clients without a published copy, which the end of the connection would cancel.
     */
    private void disconnectMissing(long now, Set<NodeName> withPendingReply, Set<NodeName> withRunsHere) {
        for (Map.Entry<NodeName, Peer> entry : new ArrayList<>(known.entrySet())) {
            Peer peer = entry.getValue();
            boolean busy = withPendingReply.contains(entry.getKey()) || withRunsHere.contains(entry.getKey());
            Duration kept = busy ? FORGET_BUSY_AFTER : FORGET_AFTER;
            if (peer.wanted && now - kept.toNanos() > peer.missingNanos) {
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

    /**
     * Notes a new connection.
     *
     * @param incarnation identifies the process at its other end
     * @return whether the connection before it led to the same process
     */
    boolean connected(long now, NodeName name, long incarnation) {
        Peer peer = peer(name);
        boolean sameProcess = peer.incarnation.equals(OptionalLong.of(incarnation));
        peer.incarnation = OptionalLong.of(incarnation);
        peer.connected = true;
        peer.received(now);
        peer.suspected = false;
        peer.leaving = false;
        peer.reported = false;
        effects.log(new Decision.DependencyChanged(
                "node " + name, "connected", "peers=" + connected().size()));
        return sameProcess;
    }

    void lost(NodeName name) {
        Peer peer = peer(name);
        peer.connected = false;
        peer.readsPlatform = false;
        effects.log(new Decision.DependencyChanged(
                "node " + name, "lost", "peers=" + connected().size()));
    }

    void received(long now, NodeName name) {
        Peer peer = peer(name);
        peer.received(now);
        if (peer.suspected) {
            peer.suspected = false;
            effects.log(new Decision.DependencyChanged(
                    "node " + name, "heard_again", "peers=" + connected().size()));
        }
    }

    void reported(long now, NodeName name, NodeReport report) {
        Peer peer = peer(name);
        peer.readsPlatform = report.readsPlatform();
        peer.takesWithdrawals = report.takesWithdrawals();
        if (report.leaving() && !peer.leaving) {
            peer.leaving = true;
            // A node that leaves when it connects announced that to others at an unknown time before.
            peer.leavingNanos = peer.reported ? now : now - LAST_RESORT_PERIOD.toNanos();
        }
        peer.reported = true;
    }

    /** Notes that a message was sent that the other node answers. */
    void expectReply(long now, NodeName name) {
        peer(name).expectReply(now);
    }

    /** Notes that this process was paused, so that the silence of other nodes says nothing about them. */
    void paused(long now) {
        known.values().stream().filter(Peer::isReplyExpected).forEach(peer -> peer.replyExpectedNanos = now);
    }

    /**
     * Suspects and resets silent connections, and disconnects nodes that have been unpublished for long.
     *
     * @param nodesWithPendingReply the nodes with a pending reply
     * @param nodesWithRunsHere the nodes whose requests wait or run at the local copy
     */
    void passTime(long now, Set<NodeName> nodesWithPendingReply, Set<NodeName> nodesWithRunsHere) {
        disconnectMissing(now, nodesWithPendingReply, nodesWithRunsHere);
        nodesWithPendingReply.forEach(name -> peer(name).resumeWait(now));
        known.forEach((name, peer) -> checkSilence(now, name, peer));
    }

    private void checkSilence(long now, NodeName name, Peer peer) {
        if (!peer.connected || !peer.isReplyExpected()) {
            return;
        }
        long silent = now - peer.replyExpectedNanos;
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
            peer.replyExpectedNanos = now;
            effects.add(new FleetEffect.ResetPeer(name));
        }
    }

    private void probe(long now, NodeName name, Peer peer) {
        peer.expectReply(now);
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
        nextIdleProbeNanos = now + IDLE_PROBE_INTERVAL.toNanos();
        known.forEach((name, peer) -> {
            if (peer.connected && !peer.isReplyExpected() && !peer.isRecentlyHeard(now)) {
                probe(now, name, peer);
            }
        });
    }

    /** Returns whether the connection to a node is responsive and the node accepts new work. */
    boolean isReachable(NodeName name) {
        Peer peer = known.get(name);
        return peer != null && peer.isResponsive() && !peer.leaving;
    }

    /** Returns whether a node sent something so recently that no summary is needed to confirm that it lives. */
    boolean isRecentlyHeard(long now, NodeName name) {
        Peer peer = known.get(name);
        return peer != null && peer.isRecentlyHeard(now);
    }

    /** Returns whether a reachable node has announced its planned stop so recently that it still accepts work. */
    boolean isJustLeaving(long now, NodeName name) {
        Peer peer = known.get(name);
        return peer != null
                && peer.isResponsive()
                && peer.leaving
                && now - peer.leavingNanos < LAST_RESORT_PERIOD.toNanos();
    }

    /** Returns whether there is a connection to a node, be it responsive or not. */
    boolean isConnected(NodeName name) {
        Peer peer = known.get(name);
        return peer != null && peer.connected;
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
        return isReachable(name) && known.get(name).readsPlatform;
    }

    /** Returns whether a node is connected and answers withdrawals. */
    boolean takesWithdrawals(NodeName name) {
        return isConnected(name) && known.get(name).takesWithdrawals;
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

        private static final long NOT_EXPECTED = Long.MAX_VALUE;

        private boolean wanted;
        private boolean connected;
        private boolean suspected;
        private boolean leaving;
        private boolean reported;
        private boolean readsPlatform;
        private boolean takesWithdrawals;
        private boolean probed;
        private OptionalLong incarnation = OptionalLong.empty();
        private long leavingNanos;
        private long receivedNanos;
        private long replyExpectedNanos = NOT_EXPECTED;
        private long missingNanos = Long.MAX_VALUE;

        private boolean isResponsive() {
            return connected && !suspected;
        }

        private boolean isRecentlyHeard(long now) {
            return now - receivedNanos < SUSPECT_AFTER.toNanos();
        }

        private boolean isReplyExpected() {
            return replyExpectedNanos != NOT_EXPECTED;
        }

        private void received(long now) {
            receivedNanos = now;
            replyExpectedNanos = NOT_EXPECTED;
            probed = false;
        }

        /** Starts the wait for an answer; with several unanswered messages, it starts at the first of them. */
        private void expectReply(long now) {
            if (!isReplyExpected()) {
                replyExpectedNanos = now;
            }
        }

        /**
         * Resumes the wait for a pending answer if another message ended the wait and the node has been silent since.
         */
        private void resumeWait(long now) {
            if (now - receivedNanos > REPORT_INTERVAL.toNanos()) {
                expectReply(receivedNanos);
            }
        }
    }
}
