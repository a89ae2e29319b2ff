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
 * How nodes pass on what is published: whoever hears that another one decides by something else asks for what it has not been
 * told yet.
 *
 * <p>What another node has told is known by that node's own count of changes. The platform's revisions don't tell it: a node
 * may hold a removal back that it has read, and revisions are given out again when the platform comes back from an older copy.
 * Invariant: one node is asked at a time for the same state, and another one where that does not answer soon. Not thread safe:
 * owned by the policy.
 */
final class PublicationExchange {

    /** An answer takes two hops and two wake-ups, some 10 ms; who has not answered by then may be gone. */
    private static final Duration ASKED_AGAIN_AFTER = Duration.ofMillis(300);

    /**
     * How long a node that knows nothing waits for one of its own availability zone that does. All entries and a configuration
     * of a thousand routes are 300 kB, which cost nothing within a zone; where a zone has one node in five, one of the own zone
     * connects to a node that has just started within some 25 ms.
     */
    private static final Duration NEARER_WITHIN = Duration.ofMillis(60);

    /** Differences while something is passed on last some 0.1 s; a platform that is slow makes them longer. */
    private static final Duration DIFFERENT_FOR = Duration.ofSeconds(3);

    /** A read of everything costs two calls of the platform or more. */
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

    /** Asks at once whoever decides by something else, so that a node that does not read the platform is not left behind. */
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
     * Decides from where on a node is to tell its changes. Of one whose changes were never told here, those are asked for first
     * that have a later revision, and everything only if it still decides by something else later: most such differences are a
     * change under way, and everything is 25 to 230 kB.
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

    /** Notes up to which of its changes a node has told everything; 0 where its answer doesn't say. */
    void told(NodeName peer, long position) {
        if (position > 0) {
            toldUpTo.merge(peer, position, Math::max);
            differentSinceNanos.remove(peer);
        }
    }

    /** Forgets what a node told: it may be another process when it is heard of again, which counts anew. */
    void lost(NodeName peer) {
        toldUpTo.remove(peer);
        differentSinceNanos.remove(peer);
    }

    /**
     * Reads the platform where this node has differed for long from all that it hears of.
     *
     * <p>Guards against a difference that no node can tell of, as after a read in the moment in which a copy's entry had lapsed:
     * it would last until that entry changes again, and show as a copy that one node never uses, or goes on using when it is
     * gone.
     */
    private void healDifference(long now) {
        if (now - sameNanos > DIFFERENT_FOR.toNanos() && now - readNanos > READS_APART.toNanos()) {
            readNanos = now;
            beliefs.readEverything(now);
        }
    }

    /** Asks a node of another zone where none of the own one was heard in time. */
    void passTime(long now) {
        if (now >= farAskedNanos) {
            far.ifPresent(teller -> ask(now, teller));
        }
    }

    long nextNanos() {
        return farAskedNanos;
    }

    /** Tells a node what it lacks. */
    void wanted(NodeName peer, EntriesWanted wanted) {
        Entries lacking = beliefs.lackingAt(wanted);
        effects.add(new FleetEffect.SendToPeer(peer, lacking));
    }
}
