package org.carawaysill.policy.fleet;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.policy.message.ChangesSince;
import org.carawaysill.policy.message.PeerMessage.Entries;
import org.carawaysill.policy.message.PeerMessage.EntriesWanted;
import org.carawaysill.policy.message.PublishedState;

/**
 * Exchanges published entries between nodes: a node that learns that another node uses a different published state
 * requests the entries that it has not yet received from it.
 *
 * <p>Each node counts its own changes, and these counts tell which changes another node has sent. The platform's
 * revisions can't: a node may hold back a removal that it has read, and the platform assigns revisions again after it
 * was restored from an older state. Invariant: only one node at a time is asked for the same state, and another node if
 * the first does not answer soon. Not thread safe: owned by the policy.
 */
final class PublicationExchange {

    /**
     * An answer takes two hops and two wake-ups, about 10 ms; a node that has not answered within this time may be
     * gone.
     */
    private static final Duration REPLY_TIMEOUT = Duration.ofMillis(300);

    /**
     * How long a node without entries waits for a node of its own availability zone that has some. All entries and a
     * configuration of a thousand routes are 300 kB, which cost nothing within a zone. In a zone with one node in five,
     * some node of the zone connects to a newly started node within about 25 ms.
     */
    private static final Duration SAME_ZONE_WAIT = Duration.ofMillis(60);

    /**
     * How long a node that only lacks the removals before its start waits for a node of its own availability zone, each
     * of which reports within this time.
     */
    private static final Duration REMOVALS_WAIT = Duration.ofSeconds(1);

    /**
     * How long this node may differ from all others before it reads everything: differences during the distribution of
     * a change last about 0.1 s, and longer with a slow platform.
     */
    private static final Duration DIVERGENCE_LIMIT = Duration.ofSeconds(3);

    /** The minimum interval between full reads, each of which costs two or more calls of the platform. */
    private static final Duration FULL_READ_INTERVAL = Duration.ofSeconds(10);

    private final Effects effects;
    private final PublishedView view;
    private final Map<NodeName, Long> receivedPositions = new HashMap<>();
    private final Map<NodeName, Long> differentSinceNanos = new HashMap<>();
    private Optional<Source> deferredSource = Optional.empty();
    private long deferredUntilNanos = Long.MAX_VALUE;
    private long requestedDigest;
    private long requestedNanos;
    private long lastEqualNanos;
    private long lastFullReadNanos;

    /**
     * Whether another node has sent everything since this process started.
     *
     * <p>Guards against a removal before the start, which the platform no longer shows to this node: if the platform is
     * then restored from an older state, the removed entry would look like a new one.
     */
    private boolean removalsKnown;

    private record Source(NodeName node, long digest) {}

    PublicationExchange(long now, Effects effects, PublishedView view) {
        this.effects = effects;
        this.view = view;
        lastEqualNanos = now;
        requestedNanos = now - REPLY_TIMEOUT.toNanos();
        lastFullReadNanos = now - FULL_READ_INTERVAL.toNanos();
    }

    /**
     * Requests entries at once from a node with a different state, so that nodes that do not read the platform stay up
     * to date.
     */
    void stateReceived(long now, NodeName peer, boolean sameZone, PublishedState theirs) {
        PublishedState own = view.published();
        if (theirs.digest() != own.digest()) {
            readIfDiverged(now);
            Duration wait = sameZone || own.position() > 0 ? Duration.ZERO : SAME_ZONE_WAIT;
            request(now, new Source(peer, theirs.digest()), theirs.position(), wait);
            return;
        }
        lastEqualNanos = now;
        view.confirmed(now);
        if (removalsKnown) {
            entriesReceived(peer, theirs.position());
        } else {
            Duration wait = sameZone ? Duration.ZERO : REMOVALS_WAIT;
            request(now, new Source(peer, theirs.digest()), theirs.position(), wait);
        }
    }

    /** Requests entries that a node may have, at once or from another node of the own zone that reports in time. */
    private void request(long now, Source source, long position, Duration sameZoneWait) {
        if (position <= receivedPositions.getOrDefault(source.node(), 0L) || isRequested(now, source.digest())) {
            return;
        }
        if (sameZoneWait.isZero()) {
            requestFrom(now, source);
        } else if (deferredSource.isEmpty()) {
            deferredSource = Optional.of(source);
            deferredUntilNanos = now + sameZoneWait.toNanos();
        }
    }

    private boolean isRequested(long now, long digest) {
        return digest == requestedDigest && now - requestedNanos < REPLY_TIMEOUT.toNanos();
    }

    private void requestFrom(long now, Source source) {
        deferredSource = Optional.empty();
        deferredUntilNanos = Long.MAX_VALUE;
        requestedDigest = source.digest();
        requestedNanos = now;
        effects.add(new FleetEffect.SendToPeer(
                source.node(), new EntriesWanted(since(now, source.node(), source.digest()))));
    }

    /**
     * Returns the point from which another node should send its changes. If that node has sent no changes yet, this
     * node first asks for changes with a later revision, and for everything only if the state still differs later: most
     * such differences are a change being distributed, and everything is 25 to 230 kB. Of a node with the same state it
     * asks for everything, because it lacks only removals.
     */
    private ChangesSince since(long now, NodeName peer, long digest) {
        Long upTo = receivedPositions.get(peer);
        if (upTo != null) {
            return new ChangesSince.AtPosition(upTo);
        }
        long differentSince = differentSinceNanos.computeIfAbsent(peer, _ -> now);
        boolean wantsEverything =
                digest == view.published().digest() || view.published().position() == 0;
        return wantsEverything || now - differentSince >= REPLY_TIMEOUT.toNanos()
                ? new ChangesSince.AtPosition(0)
                : new ChangesSince.AtRevision(view.knownUpTo());
    }

    /** Notes up to which of its changes a node has sent everything; 0 if its answer does not say. */
    void entriesReceived(NodeName peer, long position) {
        if (position > 0) {
            removalsKnown = true;
            receivedPositions.merge(peer, position, Math::max);
            differentSinceNanos.remove(peer);
        }
    }

    /** Forgets the position of a node: after a reconnect it may be another process, which counts from the beginning. */
    void peerLost(NodeName peer) {
        receivedPositions.remove(peer);
        differentSinceNanos.remove(peer);
    }

    /**
     * Reads the platform if this node has long differed from all nodes that it receives reports from.
     *
     * <p>Guards against a difference that no node detects, for example after a read at the moment when a copy's entry
     * had lapsed: it would last until that entry changes again, and the node would never use a copy, or keep using one
     * that is gone.
     */
    private void readIfDiverged(long now) {
        if (now - lastEqualNanos > DIVERGENCE_LIMIT.toNanos()
                && now - lastFullReadNanos > FULL_READ_INTERVAL.toNanos()) {
            lastFullReadNanos = now;
            view.readEverything(now);
        }
    }

    /** Asks a node of another zone if no node of the own zone reported in time. */
    void passTime(long now) {
        if (now >= deferredUntilNanos) {
            deferredSource.ifPresent(source -> requestFrom(now, source));
        }
    }

    long nextNanos() {
        return deferredUntilNanos;
    }

    /** Sends a node the entries that it does not have. */
    void entriesRequested(NodeName peer, EntriesWanted request) {
        Entries missing = view.entriesMissingAt(request);
        effects.add(new FleetEffect.SendToPeer(peer, missing));
    }
}
