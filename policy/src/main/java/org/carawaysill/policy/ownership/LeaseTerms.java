package org.carawaysill.policy.ownership;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.RequestIdentifier;
import org.carawaysill.policy.ownership.LeaseVotes.Extent;
import org.carawaysill.policy.time.Moment;

/**
 * Tracks what this node's lease covers while rosters change: all requests that the newest roster assigns to it, or at
 * first only the unmoved ones, which the roster under which it acted before assigned to it too.
 *
 * <p>Invariant: unmoved requests continue through a change of the roster, since no other node gets them; moved ones wait
 * until the leases under the older rosters have expired. Not thread safe: one thread owns it.
 */
final class LeaseTerms {

    private final RosterHistory history;
    private final LeaseVotes votes;
    private Optional<Roster> newest = Optional.empty();
    private Optional<Roster> previous = Optional.empty();
    private LeaseTerm full = LeaseTerm.NEVER;
    private LeaseTerm unmoved = LeaseTerm.NEVER;

    LeaseTerms(RosterHistory history, LeaseVotes votes) {
        this.history = history;
        this.votes = votes;
    }

    /** Returns the last roster before the newest one under which this node held the full lease. */
    Optional<Roster> previous() {
        return previous;
    }

    /** Returns the lease for all requests that the newest roster assigns to this node, in force or not. */
    LeaseTerm full() {
        return full;
    }

    /** Changes to the newest roster; returns whether it has other members. */
    boolean adopt() {
        Roster next = history.current().orElse(null);
        boolean same = next == null || newest.filter(next::sameMembers).isPresent();
        if (!same) {
            change(next);
        }
        newest = Optional.ofNullable(next);
        return !same;
    }

    private void change(Roster next) {
        votes.clear();
        if (full.everHeld()) {
            previous = newest;
            unmoved = full;
            full = LeaseTerm.NEVER;
        } else if (previous.filter(next::sameMembers).isPresent()) {
            previous = Optional.empty();
            full = unmoved;
            unmoved = LeaseTerm.NEVER;
        }
    }

    /** Recomputes the lease from the votes. */
    void evaluate(Moment now) {
        if (newest.isEmpty() || newest.get().last() < history.closedBelow()) {
            return;
        }
        if (previous.isPresent()) {
            evaluateUnmoved(now.nanos());
        }
        evaluateFull(now);
    }

    /**
     * Extends the lease for unmoved requests. A majority of the previous roster must agree even if other nodes report it
     * as closed: only that majority knows who acted since.
     */
    private void evaluateUnmoved(long now) {
        List<Roster> rosters =
                Stream.concat(history.all().stream(), previous.stream()).toList();
        long until = votes.untilNanos(rosters, Extent.UNMOVED);
        if (now < until && unmoved.continues(now, votes.freeFromNanos(now, rosters, Extent.UNMOVED))) {
            unmoved = unmoved.until(until);
        }
    }

    /**
     * Extends or begins the lease for all requests. An older roster that this node never queried, since others closed it,
     * may have had leases until then that no granter of the newest roster knows of. So the vouched time begins no earlier
     * than the closing.
     */
    private void evaluateFull(Moment now) {
        long until = votes.untilNanos(history.all(), Extent.ALL);
        if (until <= now.nanos()) {
            return;
        }
        long freeFrom = votes.freeFromNanos(now.nanos(), history.all(), Extent.ALL);
        boolean continues = full.continues(now.nanos(), freeFrom);
        boolean heldTogether = unmoved.held(now.nanos()) || continues && unmoved.untilNanos() == full.untilNanos();
        full = continues ? full.until(until) : LeaseTerm.begun(now, Math.max(freeFrom, history.closedAtNanos()), until);
        if (previous.isPresent() && heldTogether) {
            unmoved = unmoved.until(full.untilNanos());
        }
        history.close(newest.orElseThrow().first(), now.nanos());
    }

    /** Returns the term under which this node may act on a request now, or empty if it may not. */
    Optional<LeaseTerm> term(long now, RequestIdentifier request, NodeName self) {
        if (newest.filter(roster -> roster.assigns(request, self)).isEmpty()) {
            return Optional.empty();
        }
        boolean stayed =
                previous.filter(roster -> roster.assigns(request, self)).isPresent();
        boolean earlier = unmoved.sinceNanos() < full.sinceNanos();
        if (stayed && unmoved.held(now) && (earlier || !full.held(now))) {
            return Optional.of(unmoved);
        }
        return full.held(now) ? Optional.of(full) : Optional.empty();
    }
}
