package org.carawaysill.policy.ownership;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.carawaysill.policy.message.PeerMessage.LeaseVerdict;
import org.carawaysill.policy.message.PeerMessage.RosterMember;

/**
 * Collects the votes on this node's lease under one roster, and evaluates what majorities of them grant.
 *
 * <p>Invariants: a lease counts from before its request was sent, so it ends here before it ends at any granter. A member
 * that is permanently gone has no vote, since counting it as an assent would let two leases that exclude each other both
 * have it. Where a majority is gone, the votes of all live members suffice: the others can't act any more. Not thread
 * safe: one thread owns it.
 */
final class LeaseVotes {

    private final LeaseSettings settings;
    private final VmAbsence absence;
    private final Map<RosterMember, Vote> votes = new HashMap<>();

    /** Which requests a lease covers. */
    enum Extent {
        /** All requests that the roster assigns to this node. */
        ALL,
        /** The requests that both the roster and this node's previous one assign to it. */
        UNMOVED
    }

    /**
     * A granted vote.
     *
     * @param sentNanos when the request was sent
     * @param verdict what was granted
     * @param freeFromNanos since when the granter knows of no lease that excludes this one
     * @param unmovedFromNanos the same for a lease for unmoved requests only
     */
    record Vote(long sentNanos, LeaseVerdict verdict, long freeFromNanos, long unmovedFromNanos) {

        boolean supports(Extent extent) {
            return verdict == LeaseVerdict.GRANTED
                    || verdict == LeaseVerdict.GRANTED_FOR_UNMOVED && extent == Extent.UNMOVED;
        }

        long freeFromNanos(Extent extent) {
            return extent == Extent.ALL ? freeFromNanos : unmovedFromNanos;
        }
    }

    LeaseVotes(LeaseSettings settings, VmAbsence absence) {
        this.settings = settings;
        this.absence = absence;
    }

    void clear() {
        votes.clear();
    }

    /** Keeps the vote on the latest request; replies may arrive in any order. */
    void add(RosterMember granter, Vote vote) {
        votes.merge(granter, vote, (old, next) -> next.sentNanos >= old.sentNanos ? next : old);
    }

    /** Returns until when a majority of each roster grants the lease; a time before all others if one does not. */
    long untilNanos(List<Roster> rosters, Extent extent) {
        return rosters.stream()
                .mapToLong(roster -> untilNanos(roster, extent))
                .min()
                .orElse(Long.MIN_VALUE);
    }

    /**
     * Returns the last time at which another lease may have excluded this one, as far as a majority of each roster knows;
     * {@link Long#MAX_VALUE} if there is no majority.
     */
    long freeFromNanos(long now, List<Roster> rosters, Extent extent) {
        return rosters.stream()
                .mapToLong(roster -> freeFromNanos(now, roster, extent))
                .max()
                .orElse(Long.MAX_VALUE);
    }

    /** Returns until when a majority of the members grants the lease, or all live ones if fewer are left. */
    private long untilNanos(Roster roster, Extent extent) {
        long[] negatedEnds = roster.members().stream()
                .filter(member -> !absence.gone(member))
                .mapToLong(member -> -endOf(member, extent))
                .sorted()
                .toArray();
        int enough = Math.min(negatedEnds.length, majority(roster));
        return enough == 0 ? Long.MAX_VALUE : -negatedEnds[enough - 1];
    }

    /**
     * Returns the earliest time after which a majority knew of no other lease; if fewer are live, all live members knew of
     * none and the gone ones could hold none.
     */
    private long freeFromNanos(long now, Roster roster, Extent extent) {
        long[] freeFromTimes = roster.members().stream()
                .filter(member -> !absence.gone(member))
                .mapToLong(member -> freeFrom(now, member, extent))
                .sorted()
                .toArray();
        if (freeFromTimes.length >= majority(roster)) {
            return freeFromTimes[majority(roster) - 1];
        }
        long lastOfLiving = freeFromTimes.length == 0 ? Long.MIN_VALUE : freeFromTimes[freeFromTimes.length - 1];
        return Math.max(lastOfLiving, lastActOfGone(roster));
    }

    private long lastActOfGone(Roster roster) {
        return roster.members().stream()
                .filter(absence::gone)
                .mapToLong(absence::absentSinceNanos)
                .max()
                .orElse(Long.MIN_VALUE);
    }

    private static int majority(Roster roster) {
        return roster.members().size() / 2 + 1;
    }

    private long endOf(RosterMember member, Extent extent) {
        Vote vote = votes.get(member);
        boolean granted = vote != null && vote.supports(extent);
        return granted ? vote.sentNanos + settings.duration().toNanos() : -Long.MAX_VALUE;
    }

    private long freeFrom(long now, RosterMember member, Extent extent) {
        Vote vote = votes.get(member);
        boolean inForce = vote != null
                && vote.supports(extent)
                && vote.sentNanos + settings.duration().toNanos() > now;
        return inForce ? vote.freeFromNanos(extent) : Long.MAX_VALUE;
    }
}
