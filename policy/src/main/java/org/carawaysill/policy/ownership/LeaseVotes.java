package org.carawaysill.policy.ownership;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.carawaysill.policy.message.PeerMessage.LeaseVerdict;
import org.carawaysill.policy.message.PeerMessage.RosterMember;

/**
 * The votes that this node got for its lease under one roster, and what majorities of them amount to.
 *
 * <p>Invariants: a lease counts from before its request was sent, so it ends here before it ends at any granter. A member
 * that is gone for good votes for nobody, since it would vote for both of two that exclude each other. Where a majority
 * is gone, the votes of all that live suffice: the others can't act any more. Not thread safe: one thread owns it.
 */
final class LeaseVotes {

    private final LeaseSettings settings;
    private final VmAbsence absence;
    private final Map<RosterMember, Vote> votes = new HashMap<>();

    /** How much work a lease covers. */
    enum Extent {
        /** All that the roster gives this node. */
        ALL,
        /** What both the roster and this node's previous one give it. */
        UNMOVED
    }

    /**
     * A granted vote.
     *
     * @param sentNanos when the request was sent
     * @param verdict what was granted
     * @param freeFromNanos since when no lease excluded it, at the granter
     * @param unmovedFromNanos the same for unmoved work
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

    /** Keeps the vote on the latest request; replies may come in any order. */
    void add(RosterMember granter, Vote vote) {
        votes.merge(granter, vote, (old, next) -> next.sentNanos >= old.sentNanos ? next : old);
    }

    /** Tells until when a majority of each roster grants the lease, {@link Long#MIN_VALUE} where one does not. */
    long untilNanos(List<Roster> rosters, Extent extent) {
        return rosters.stream()
                .mapToLong(roster -> untilNanos(roster, extent))
                .min()
                .orElse(Long.MIN_VALUE);
    }

    /**
     * Tells the last time at which, for all that a majority of each roster knows, another lease excluded this one;
     * {@link Long#MAX_VALUE} where there is no majority.
     */
    long freeFromNanos(long now, List<Roster> rosters, Extent extent) {
        return rosters.stream()
                .mapToLong(roster -> freeFromNanos(now, roster, extent))
                .max()
                .orElse(Long.MAX_VALUE);
    }

    /** The end that a majority's votes reach, or those of all that live. */
    private long untilNanos(Roster roster, Extent extent) {
        long[] falling = roster.members().stream()
                .filter(member -> !absence.gone(member))
                .mapToLong(member -> -endOf(member, extent))
                .sorted()
                .toArray();
        int enough = Math.min(falling.length, majority(roster));
        return enough == 0 ? Long.MAX_VALUE : -falling[enough - 1];
    }

    /** The earliest time after which a majority, or all that live, knew of no other lease and the gone had none. */
    private long freeFromNanos(long now, Roster roster, Extent extent) {
        long[] rising = roster.members().stream()
                .filter(member -> !absence.gone(member))
                .mapToLong(member -> freeFrom(now, member, extent))
                .sorted()
                .toArray();
        if (rising.length >= majority(roster)) {
            return rising[majority(roster) - 1];
        }
        long lastOfLiving = rising.length == 0 ? Long.MIN_VALUE : rising[rising.length - 1];
        return Math.max(lastOfLiving, lastOfGone(roster));
    }

    private long lastOfGone(Roster roster) {
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
