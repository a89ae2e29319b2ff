package org.carawaysill.policy.fleet;

import java.time.Duration;
import java.util.Optional;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.policy.message.PeerMessage;
import org.carawaysill.policy.message.PublishedState;

/**
 * How nodes pass on what is published: whoever hears of something newer asks for what it lacks.
 *
 * <p>Invariant: one node is asked at a time, and another one where that does not answer soon. Not thread safe: owned by the
 * policy.
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
    private Optional<Teller> far = Optional.empty();
    private long farAskedNanos = Long.MAX_VALUE;
    private long askedRevision;
    private long askedNanos;
    private long sameNanos;
    private long readNanos;

    private record Teller(NodeName node, long revision) {}

    PublicationExchange(long now, Effects effects, Beliefs beliefs) {
        this.effects = effects;
        this.beliefs = beliefs;
        sameNanos = now;
        readNanos = now - READS_APART.toNanos();
    }

    /** Asks at once whoever decides by something newer, so that a node that does not read the platform is not left behind. */
    void heard(long now, NodeName peer, boolean sameZone, PublishedState theirs) {
        PublishedState own = beliefs.published();
        if (theirs.digest() == own.digest()) {
            sameNanos = now;
            beliefs.sameAs(now, theirs);
            return;
        }
        healDifference(now);
        long known = Math.max(own.revision(), beliefs.asOf());
        boolean asked = theirs.revision() <= askedRevision && now - askedNanos < ASKED_AGAIN_AFTER.toNanos();
        if (theirs.revision() <= known || asked) {
            return;
        }
        Teller teller = new Teller(peer, theirs.revision());
        if (sameZone || own.revision() > 0) {
            ask(now, teller);
        } else if (far.isEmpty()) {
            far = Optional.of(teller);
            farAskedNanos = now + NEARER_WITHIN.toNanos();
        }
    }

    private void ask(long now, Teller teller) {
        far = Optional.empty();
        farAskedNanos = Long.MAX_VALUE;
        askedRevision = teller.revision();
        askedNanos = now;
        long since = beliefs.published().revision();
        effects.add(new FleetEffect.SendToPeer(teller.node(), new PeerMessage.EntriesWanted(since)));
    }

    /**
     * Reads the platform where this node has differed for long from all that it hears of.
     *
     * <p>Guards against a difference that no revision shows, as after a read in the moment in which a copy's entry had lapsed:
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
    void wanted(NodeName peer, PeerMessage.EntriesWanted wanted) {
        effects.add(new FleetEffect.SendToPeer(peer, beliefs.toldToOthers(wanted.since())));
    }
}
