package org.carawaysill.policy.ownership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.policy.message.PeerMessage.LeaseRequest;
import org.carawaysill.policy.message.PeerMessage.LeaseVerdict;
import org.carawaysill.policy.message.PeerMessage.RosterMember;
import org.carawaysill.policy.time.Moment;

/**
 * One node's vote on leases.
 *
 * <p>Invariants: two leases that it counts as in force at the same time are of different nodes, and there is a roster
 * under which both act, so that no identifier belongs to both; it never grants under an older roster than the newest it
 * knows. Not thread safe: one thread owns it.
 */
final class LeaseGranter {

    private static final int MOST_ENDED = 64;

    private final LeaseSettings settings;
    private final RosterHistory history;
    private final Map<NodeName, Grant> inForce = new HashMap<>();
    private final List<Grant> ended = new ArrayList<>();
    private long blindBeforeNanos;

    /** A process that asks for leases: one start of one member. */
    private record Actor(RosterMember member, long incarnation) {}

    /** The digests of the rosters that all must give an identifier to the actor; 0 for no previous one. */
    private record Scope(long digest, long previous) {

        boolean has(long wanted) {
            return digest == wanted || previous == wanted;
        }

        boolean shares(Scope other) {
            return has(other.digest) || other.previous != 0 && has(other.previous);
        }
    }

    private record Grant(Actor actor, Scope scope, long untilNanos) {

        /** Whether an identifier may belong to both, were both in force. */
        boolean excludes(Actor other, Scope wanted) {
            boolean sameName = actor.member.node().equals(other.member.node());
            return !actor.equals(other) && (sameName || !scope.shares(wanted));
        }
    }

    /** The vote, and for how long no lease in force has excluded it. */
    record Decision(LeaseVerdict verdict, long freeNanos, long freeForUnmovedNanos) {

        static Decision refused(LeaseVerdict verdict) {
            return new Decision(verdict, 0, 0);
        }
    }

    /**
     * Starts without memory.
     *
     * <p>Failure guarded against: this node's former process granted a lease just before it ended, and this one grants
     * another over it. Until the former's last grant has run out, nothing is granted.
     */
    LeaseGranter(LeaseSettings settings, RosterHistory history, long startNanos) {
        this.settings = settings;
        this.history = history;
        this.blindBeforeNanos = startNanos + settings.grantLength().toNanos();
    }

    Decision decide(Moment now, LeaseRequest request, boolean recovering) {
        endExpired(now.nanos());
        Actor actor = new Actor(request.requester(), request.incarnation());
        if (request.durationNanos() == 0) {
            release(now.nanos(), actor);
            return Decision.refused(LeaseVerdict.REFUSED);
        }
        if (!isNewest(request)) {
            return Decision.refused(isUnknown(request) ? LeaseVerdict.UNKNOWN_ROSTER : LeaseVerdict.REFUSED);
        }
        if (clocksApart(now, request)) {
            return Decision.refused(LeaseVerdict.CLOCKS_APART);
        }
        boolean member = history.current().orElseThrow().members().contains(request.requester());
        if (recovering || !member || now.nanos() < blindBeforeNanos) {
            return Decision.refused(LeaseVerdict.REFUSED);
        }
        return grant(now.nanos(), actor, request);
    }

    private Decision grant(long now, Actor actor, LeaseRequest request) {
        Scope full = new Scope(request.rosterDigest(), 0);
        Scope unmoved = new Scope(request.rosterDigest(), request.previousDigest());
        if (!excluded(actor, full)) {
            note(now, actor, full);
            return new Decision(LeaseVerdict.GRANTED, free(now, actor, full), free(now, actor, unmoved));
        }
        if (!excluded(actor, unmoved)) {
            note(now, actor, unmoved);
            return new Decision(LeaseVerdict.GRANTED_FOR_UNMOVED, 0, free(now, actor, unmoved));
        }
        return Decision.refused(LeaseVerdict.REFUSED);
    }

    private boolean excluded(Actor actor, Scope scope) {
        return inForce.values().stream().anyMatch(grant -> grant.excludes(actor, scope));
    }

    /**
     * Counts a lease. A grant for more work under the same roster stays what it is, since the actor may still act under
     * it; one under an older roster has ended, since the actor moved on before it asked for this one.
     */
    private void note(long now, Actor actor, Scope scope) {
        Grant before = inForce.get(actor.member.node());
        boolean keepsWider = before != null && before.scope.equals(new Scope(scope.digest, 0));
        if (before != null && !keepsWider && !before.scope.equals(scope)) {
            remember(new Grant(actor, before.scope, now));
        }
        long until = now + settings.grantLength().toNanos();
        inForce.put(actor.member.node(), new Grant(actor, keepsWider ? before.scope : scope, until));
    }

    /**
     * Tells how long ago the last lease ended that excludes this one. The asker may vouch from then on: whoever acted on
     * its identifiers before did so under a lease that a majority granted, one of whom answers this.
     */
    private long free(long now, Actor actor, Scope scope) {
        long last = blindBeforeNanos;
        for (Grant grant : ended) {
            if (grant.excludes(actor, scope)) {
                last = Math.max(last, grant.untilNanos);
            }
        }
        return now - last;
    }

    private void release(long now, Actor actor) {
        Grant grant = inForce.get(actor.member.node());
        if (grant != null && grant.actor.equals(actor)) {
            inForce.remove(actor.member.node());
            remember(new Grant(actor, grant.scope, now));
        }
    }

    private void endExpired(long now) {
        Iterator<Grant> grants = inForce.values().iterator();
        while (grants.hasNext()) {
            Grant grant = grants.next();
            if (grant.untilNanos <= now) {
                grants.remove();
                remember(grant);
            }
        }
    }

    /** Keeps the last grant of each actor and scope; what is forgotten counts as if it had excluded everything. */
    private void remember(Grant grant) {
        ended.removeIf(old -> old.actor.equals(grant.actor) && old.scope.equals(grant.scope));
        ended.add(grant);
        if (ended.size() > MOST_ENDED) {
            blindBeforeNanos = Math.max(blindBeforeNanos, ended.removeFirst().untilNanos);
        }
    }

    private boolean isNewest(LeaseRequest request) {
        return history.current()
                .filter(newest -> newest.digest() == request.rosterDigest())
                .filter(newest -> newest.first() <= request.rosterVersion())
                .isPresent();
    }

    private boolean isUnknown(LeaseRequest request) {
        return history.current()
                .map(newest -> newest.last() < request.rosterVersion())
                .orElse(true);
    }

    /** One-way comparison: a message can make the sender's clock look late by its travel, never early. */
    private boolean clocksApart(Moment now, LeaseRequest request) {
        long apart = Math.abs(now.epochMillis() - request.wallMillis());
        return apart > settings.clockMargin().toMillis() / 2;
    }
}
