package org.carawaysill.policy.fleet;

import java.time.Duration;
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

    private final Effects effects;
    private final Beliefs beliefs;
    private long askedRevision;
    private long askedNanos;

    PublicationExchange(Effects effects, Beliefs beliefs) {
        this.effects = effects;
        this.beliefs = beliefs;
    }

    /** Asks at once whoever decides by something newer, so that a node that does not read the platform is not left behind. */
    void heard(long now, NodeName peer, PublishedState theirs) {
        PublishedState own = beliefs.published();
        if (theirs.digest() == own.digest()) {
            beliefs.sameAs(theirs);
            return;
        }
        long known = Math.max(own.revision(), beliefs.asOf());
        boolean asked = theirs.revision() <= askedRevision && now - askedNanos < ASKED_AGAIN_AFTER.toNanos();
        if (theirs.revision() > known && !asked) {
            askedRevision = theirs.revision();
            askedNanos = now;
            effects.add(new FleetEffect.SendToPeer(peer, new PeerMessage.EntriesWanted(own.revision())));
        }
    }

    /** Tells a node what it lacks. */
    void wanted(NodeName peer, PeerMessage.EntriesWanted wanted) {
        effects.add(new FleetEffect.SendToPeer(peer, beliefs.toldToOthers(wanted.since())));
    }
}
