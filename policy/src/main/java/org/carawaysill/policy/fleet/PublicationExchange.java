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
    private static final Duration ASKED_AGAIN_AFTER = Duration.ofMillis(300);

    /**
     * How long a node without entries waits for a node of its own availability zone that has some. All entries and a
     * configuration of a thousand routes are 300 kB, which cost nothing within a zone. In a zone with one node in five,
     * some node of the zone connects to a newly started node within about 25 ms.
     */
    private static final Duration NEARER_WITHIN = Duration.ofMillis(60);

    /**
     * How long this node may differ from all others before it reads everything: differences during the distribution of
     * a change last about 0.1 s, and longer with a slow platform.
     */
    private static final Duration DIFFERENT_FOR = Duration.ofSeconds(3);

    /** The minimum interval between full reads, each of which costs two or more calls of the platform. */
    private static final Duration READS_APART = Duration.ofSeconds(10);

    private final Effects effects;
    private final Beliefs beliefs;
    private final Map<NodeName, Long> toldUpTo = new HashMap<>();
    private final Map<NodeName, Long> differentSinceNanos = new HashMap<>();
    private Optional<Teller> far = Optional.empty();
    private long farAskedNanos = Long.MAX_VALUE;
    private long askedDigest;
    private long askedNanos;
    private long sameNanos;
    private long readNanos;

    private record Teller(NodeName node, long digest) {}

    PublicationExchange(long now, Effects effects, Beliefs beliefs) {
        this.effects = effects;
        this.beliefs = beliefs;
        sameNanos = now;
        askedNanos = now - ASKED_AGAIN_AFTER.toNanos();
        readNanos = now - READS_APART.toNanos();
    }

    /**
     * Requests entries at once from a node with a different state, so that nodes that do not read the platform stay up
     * to date.
     */
    void heard(long now, NodeName peer, boolean sameZone, PublishedState theirs) {
        PublishedState own = beliefs.published();
        if (theirs.digest() == own.digest()) {
            sameNanos = now;
            beliefs.confirmed(now);
            told(peer, theirs.position());
            return;
        }
        healDifference(now);
        if (theirs.position() <= toldUpTo.getOrDefault(peer, 0L) || isAsked(now, theirs.digest())) {
            return;
        }
        Teller teller = new Teller(peer, theirs.digest());
        if (sameZone || own.position() > 0) {
            ask(now, teller);
        } else if (far.isEmpty()) {
            far = Optional.of(teller);
            farAskedNanos = now + NEARER_WITHIN.toNanos();
        }
    }

    private boolean isAsked(long now, long digest) {
        return digest == askedDigest && now - askedNanos < ASKED_AGAIN_AFTER.toNanos();
    }

    private void ask(long now, Teller teller) {
        far = Optional.empty();
        farAskedNanos = Long.MAX_VALUE;
        askedDigest = teller.digest();
        askedNanos = now;
        effects.add(new FleetEffect.SendToPeer(teller.node(), new EntriesWanted(since(now, teller.node()))));
    }

    /**
     * Returns the point from which another node should send its changes. If that node has sent no changes yet, this
     * node first asks for changes with a later revision, and for everything only if the state still differs later: most
     * such differences are a change being distributed, and everything is 25 to 230 kB.
     */
    private ChangesSince since(long now, NodeName peer) {
        Long upTo = toldUpTo.get(peer);
        if (upTo != null) {
            return new ChangesSince.AtPosition(upTo);
        }
        long differentSince = differentSinceNanos.computeIfAbsent(peer, _ -> now);
        boolean knowsNothing = beliefs.published().position() == 0;
        return knowsNothing || now - differentSince >= ASKED_AGAIN_AFTER.toNanos()
                ? new ChangesSince.AtPosition(0)
                : new ChangesSince.AtRevision(beliefs.knownUpTo());
    }

    /** Notes up to which of its changes a node has sent everything; 0 if its answer does not say. */
    void told(NodeName peer, long position) {
        if (position > 0) {
            toldUpTo.merge(peer, position, Math::max);
            differentSinceNanos.remove(peer);
        }
    }

    /** Forgets the position of a node: after a reconnect it may be another process, which counts from the beginning. */
    void lost(NodeName peer) {
        toldUpTo.remove(peer);
        differentSinceNanos.remove(peer);
    }

    /**
     * Reads the platform if this node has long differed from all nodes that it receives reports from.
     *
     * <p>Guards against a difference that no node detects, for example after a read at the moment when a copy's entry
     * had lapsed: it would last until that entry changes again, and the node would never use a copy, or keep using one
     * that is gone.
     */
    private void healDifference(long now) {
        if (now - sameNanos > DIFFERENT_FOR.toNanos() && now - readNanos > READS_APART.toNanos()) {
            readNanos = now;
            beliefs.readEverything(now);
        }
    }

    /** Asks a node of another zone if no node of the own zone reported in time. */
    void passTime(long now) {
        if (now >= farAskedNanos) {
            far.ifPresent(teller -> ask(now, teller));
        }
    }

    long nextNanos() {
        return farAskedNanos;
    }

    /** Sends a node the entries that it does not have. */
    void wanted(NodeName peer, EntriesWanted wanted) {
        Entries lacking = beliefs.lackingAt(wanted);
        effects.add(new FleetEffect.SendToPeer(peer, lacking));
    }
}
