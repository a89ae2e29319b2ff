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
 * Decides this node's votes on the leases of all nodes.
 *
 * <p>Invariants: two leases that it counts as in force at the same time belong to different nodes, and there is a roster
 * under which both act, so that no identifier belongs to both; it never grants under an older roster than the newest it
 * knows. Not thread safe: one thread owns it.
 */
final class LeaseGranter {

    private static final int MAXIMUM_ENDED = 64;

    private final LeaseSettings settings;
    private final RosterHistory history;
    private final Map<NodeName, Grant> inForce = new HashMap<>();
    private final List<Grant> ended = new ArrayList<>();
    private long unknownBeforeNanos;

    /** A process that requests leases: one incarnation of one member. */
    private record Actor(RosterMember member, long incarnation) {}

    /** The digests of the rosters that must all assign an identifier to the actor; 0 if there is no previous one. */
    private record Scope(long digest, long previous) {

        boolean has(long wanted) {
            return digest == wanted || previous == wanted;
        }

        boolean shares(Scope other) {
            return has(other.digest) || other.previous != 0 && has(other.previous);
        }
    }

    private record Grant(Actor actor, Scope scope, long untilNanos) {

        /** Returns whether an identifier could belong to both if both were in force. */
        boolean excludes(Actor other, Scope wanted) {
            boolean sameName = actor.member.node().equals(other.member.node());
            return !actor.equals(other) && (sameName || !scope.shares(wanted));
        }
    }

    /** The vote, and for how long no lease in force has excluded the requested one. */
    record Decision(LeaseVerdict verdict, long freeNanos, long freeForUnmovedNanos) {

        static Decision refused(LeaseVerdict verdict) {
            return new Decision(verdict, 0, 0);
        }
    }

    /**
     * Starts without known grants.
     *
     * <p>Guards against granting a lease that conflicts with one that this node's previous process granted just before it
     * ended: nothing is granted until the last grant of that process must have expired.
     */
    LeaseGranter(LeaseSettings settings, RosterHistory history, long startNanos) {
        this.settings = settings;
        this.history = history;
        this.unknownBeforeNanos = startNanos + settings.grantLength().toNanos();
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
        if (recovering || !member || now.nanos() < unknownBeforeNanos) {
            return Decision.refused(LeaseVerdict.REFUSED);
        }
        return grant(now.nanos(), actor, request);
    }

    private Decision grant(long now, Actor actor, LeaseRequest request) {
        Scope full = new Scope(request.rosterDigest(), 0);
        Scope unmoved = new Scope(request.rosterDigest(), request.previousDigest());
        if (!excluded(actor, full)) {
            recordGrant(now, actor, full);
            return new Decision(
                    LeaseVerdict.GRANTED, freeForNanos(now, actor, full), freeForNanos(now, actor, unmoved));
        }
        if (!excluded(actor, unmoved)) {
            recordGrant(now, actor, unmoved);
            return new Decision(LeaseVerdict.GRANTED_FOR_UNMOVED, 0, freeForNanos(now, actor, unmoved));
        }
        return Decision.refused(LeaseVerdict.REFUSED);
    }

    private boolean excluded(Actor actor, Scope scope) {
        return inForce.values().stream().anyMatch(grant -> grant.excludes(actor, scope));
    }

    /**
     * Records a lease. A grant of wider scope under the same roster keeps its scope, since the actor may still act under
     * it; one under an older roster has ended, since the actor changed to the new roster before it requested this lease.
     */
    private void recordGrant(long now, Actor actor, Scope scope) {
        Grant before = inForce.get(actor.member.node());
        boolean keepsWider = before != null && before.scope.equals(new Scope(scope.digest, 0));
        if (before != null && !keepsWider && !before.scope.equals(scope)) {
            recordEnded(new Grant(actor, before.scope, now));
        }
        long until = now + settings.grantLength().toNanos();
        inForce.put(actor.member.node(), new Grant(actor, keepsWider ? before.scope : scope, until));
    }

    /**
     * Returns how long ago the last lease ended that excludes this one. The requester may vouch from then on: a node that acted on its identifiers before did so under a lease that a majority granted, and a member of that majority also answers
     * this request.
     */
    private long freeForNanos(long now, Actor actor, Scope scope) {
        long last = unknownBeforeNanos;
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
            recordEnded(new Grant(actor, grant.scope, now));
        }
    }

    private void endExpired(long now) {
        Iterator<Grant> grants = inForce.values().iterator();
        while (grants.hasNext()) {
            Grant grant = grants.next();
            if (grant.untilNanos <= now) {
                grants.remove();
                recordEnded(grant);
            }
        }
    }

    /** Keeps the last grant of each actor and scope; a dropped one counts as if it had excluded every other lease. */
    private void recordEnded(Grant grant) {
        ended.removeIf(old -> old.actor.equals(grant.actor) && old.scope.equals(grant.scope));
        ended.add(grant);
        if (ended.size() > MAXIMUM_ENDED) {
            unknownBeforeNanos = Math.max(unknownBeforeNanos, ended.removeFirst().untilNanos);
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

    /** Compares one way: the transit time of the message can make the sender's clock look late, but never early. */
    private boolean clocksApart(Moment now, LeaseRequest request) {
        long apart = Math.abs(now.epochMillis() - request.wallMillis());
        return apart > settings.clockMargin().toMillis() / 2;
    }
}
