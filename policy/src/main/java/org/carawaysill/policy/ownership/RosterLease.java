package org.carawaysill.policy.ownership;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.carawaysill.model.configuration.ServiceConfiguration;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.RequestIdentifier;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.model.request.Step;
import org.carawaysill.model.vm.VmList;
import org.carawaysill.policy.effect.Effect;
import org.carawaysill.policy.message.PeerMessage.LeaseReply;
import org.carawaysill.policy.message.PeerMessage.LeaseRequest;
import org.carawaysill.policy.message.PeerMessage.LeaseVerdict;
import org.carawaysill.policy.message.PeerMessage.RosterMember;
import org.carawaysill.policy.ownership.LeaseVotes.Vote;
import org.carawaysill.policy.time.Moment;

/**
 * Maintains the lease under which this node may act as holder, and votes on the leases of others.
 *
 * <p>Guards against two nodes that know different rosters, or two processes of one name, both acting on one identifier,
 * so that it runs twice. Each acts only while a majority of the members of its roster, and of every older roster that is
 * not closed, grants it a lease; two majorities of one roster share a member, and no member grants two leases that exclude
 * each other.
 *
 * <p>Invariant: at any time at most one process acts on an identifier. Each moment must be read after the event was
 * received; otherwise a pause in between would let a grant end too early. Not thread safe: one thread owns it.
 */
public final class RosterLease {

    private static final int MAXIMUM_ROUNDS = 16;
    private static final int RETRY_DIVISOR = 2;

    private final RosterMember self;
    private final long incarnation;
    private final ServiceName service;
    private final LeaseSettings settings;
    private final RosterHistory history = new RosterHistory();
    private final VmAbsence absence;
    private final Recovery recovery;
    private final LeaseGranter granter;
    private final LeaseVotes votes;
    private final LeaseTerms terms;
    private final Map<Long, Round> rounds = new LinkedHashMap<>();
    private final Set<NodeName> uninformed = new HashSet<>();
    private final Set<NodeName> clocksApart = new HashSet<>();
    private long sequence;
    private long nextWakeNanos;
    private boolean released;
    private boolean reportedHeld;

    /** A round of lease requests: when it was sent, and the digest of the roster. */
    private record Round(long sentNanos, long digest) {}

    /**
     * Creates a node without a lease.
     *
     * @param self this node, as its settings describe it
     * @param incarnation the start time of this process in milliseconds since 1970
     * @param service the service of this node
     * @param settings the durations and margins
     * @param start the moment at which the process started
     */
    public RosterLease(RosterMember self, long incarnation, ServiceName service, LeaseSettings settings, Moment start) {
        this.self = self;
        this.incarnation = incarnation;
        this.service = service;
        this.settings = settings;
        this.absence = new VmAbsence(self, settings);
        this.recovery = new Recovery(self);
        this.granter = new LeaseGranter(settings, history, start.nanos());
        this.votes = new LeaseVotes(settings, absence);
        this.terms = new LeaseTerms(history, votes);
        this.nextWakeNanos = start.nanos();
    }

    /**
     * Processes a published roster.
     *
     * @param now the moment
     * @param configuration the configuration that publishes it
     */
    public void roster(Moment now, ServiceConfiguration configuration) {
        if (!configuration.service().equals(service)) {
            return;
        }
        history.learn(Roster.of(configuration));
        adopt(now);
    }

    /**
     * Processes the platform's list of VMs.
     *
     * @param now the moment
     * @param list the list
     */
    public void vmList(Moment now, VmList list) {
        Set<RosterMember> members = new HashSet<>();
        history.all().forEach(roster -> members.addAll(roster.members()));
        absence.read(now.nanos(), list, members);
        recovery.check(history.all(), absence::gone);
        terms.evaluate(now);
    }

    /**
     * Renews the lease if that is due.
     *
     * @param now the moment
     * @return messages to send
     */
    public List<Effect> wakeUp(Moment now) {
        if (now.nanos() < nextWakeNanos()) {
            return reportChange(now);
        }
        long interval = settings.renewalInterval().toNanos();
        nextWakeNanos = now.nanos() + (held(now) ? interval : interval / RETRY_DIVISOR);
        openRound(now);
        List<Effect> effects = new ArrayList<>();
        for (RosterMember member : voters(now)) {
            boolean withRosters = history.inTransition() || uninformed.contains(member.node());
            effects.add(new Effect.SendToPeer(member.node(), request(now, withRosters)));
        }
        voteForSelf(now);
        terms.evaluate(now);
        effects.addAll(reportChange(now));
        return effects;
    }

    /**
     * Decides about another node's request.
     *
     * @param now the moment, taken after the request was received
     * @param from the other node
     * @param request its request
     * @return the reply to send
     */
    public List<Effect> requested(Moment now, NodeName from, LeaseRequest request) {
        if (!request.service().equals(service) || !request.requester().node().equals(from)) {
            return List.of();
        }
        absence.receivedFrom(request.requester());
        history.learn(request.rosters());
        history.current()
                .filter(newest -> newest.digest() == request.rosterDigest())
                .ifPresent(newest -> history.extend(request.rosterVersion()));
        history.close(request.closedBelow(), reportedClosedAt(now, request.closedForNanos()));
        adopt(now);
        LeaseGranter.Decision decision = granter.decide(now, request, recovery.pending());
        List<Effect> effects = new ArrayList<>();
        effects.add(new Effect.SendToPeer(from, reply(now, request, decision)));
        effects.addAll(reportChange(now));
        return effects;
    }

    /**
     * Processes a reply to this node's request for a lease.
     *
     * @param now the moment
     * @param from the other node
     * @param reply its reply
     * @return messages to send
     */
    public List<Effect> replied(Moment now, NodeName from, LeaseReply reply) {
        if (!reply.service().equals(service) || !reply.granter().node().equals(from)) {
            return List.of();
        }
        absence.receivedFrom(reply.granter());
        history.learn(reply.rosters());
        history.close(reply.closedBelow(), reportedClosedAt(now, reply.closedForNanos()));
        adopt(now);
        recovery.replied(reply.granter(), reply.recovering());
        recovery.check(history.all(), absence::gone);
        count(now, reply);
        terms.evaluate(now);
        List<Effect> effects = new ArrayList<>(repeatWithRosters(now, from, reply));
        effects.addAll(reportClock(from, reply));
        effects.addAll(reportChange(now));
        return effects;
    }

    /**
     * Releases the lease permanently, before a planned stop.
     *
     * @param now the moment
     * @return messages to send
     */
    public List<Effect> release(Moment now) {
        released = true;
        sequence++;
        LeaseRequest releaseRequest = request(now, sequence, 0, false);
        granter.decide(now, releaseRequest, recovery.pending());
        List<Effect> effects = new ArrayList<>();
        voters(now).forEach(member -> effects.add(new Effect.SendToPeer(member.node(), releaseRequest)));
        effects.addAll(reportChange(now));
        return effects;
    }

    /**
     * Returns whether the lease is in force for all requests that the newest roster assigns to this node.
     *
     * @param now the moment
     * @return whether this node may act as holder
     */
    public boolean held(Moment now) {
        return !released && terms.full().held(now.nanos());
    }

    /**
     * Returns the holder of a request under the newest roster known here.
     *
     * @param request the request
     * @return the holder, or empty before a roster is known
     */
    public Optional<NodeName> holder(RequestIdentifier request) {
        return history.current().flatMap(roster -> roster.holder(request));
    }

    /**
     * Returns when {@link #wakeUp} is due.
     *
     * @return a time on the monotonic clock in nanoseconds, {@link Long#MAX_VALUE} for never
     */
    public long nextWakeNanos() {
        return released || !history.names(self) ? Long.MAX_VALUE : nextWakeNanos;
    }

    /** Returns the term under which this node may act on a request now, or empty if it may not. */
    Optional<LeaseTerm> term(Moment now, RequestIdentifier request) {
        boolean member = history.current()
                .filter(roster -> roster.members().contains(self))
                .isPresent();
        return released || !member ? Optional.empty() : terms.term(now.nanos(), request, self.node());
    }

    /** Returns the lease for all requests that the newest roster assigns to this node, in force or not. */
    LeaseTerm term() {
        return terms.full();
    }

    Optional<Roster> roster() {
        return history.current();
    }

    Optional<Roster> roster(long digest) {
        return history.find(digest).or(() -> terms.previous().filter(roster -> roster.digest() == digest));
    }

    private long reportedClosedAt(Moment now, long closedForNanos) {
        return now.nanos() - settings.minimumElapsed(closedForNanos);
    }

    private void adopt(Moment now) {
        recovery.check(history.all(), absence::gone);
        if (terms.adopt()) {
            nextWakeNanos = now.nanos();
        }
    }

    private void openRound(Moment now) {
        sequence++;
        long digest = history.current().orElseThrow().digest();
        rounds.put(sequence, new Round(now.nanos(), digest));
        rounds.remove(sequence - MAXIMUM_ROUNDS);
    }

    /** Returns the members that must agree; those of a closed previous roster only until the full lease is held. */
    private List<RosterMember> voters(Moment now) {
        Set<RosterMember> members = new LinkedHashSet<>();
        history.all().reversed().forEach(roster -> members.addAll(roster.members()));
        if (!held(now)) {
            terms.previous().ifPresent(roster -> members.addAll(roster.members()));
        }
        Set<NodeName> names = new HashSet<>(Set.of(self.node()));
        return members.stream().filter(member -> names.add(member.node())).toList();
    }

    private LeaseRequest request(Moment now, boolean withRosters) {
        return request(now, sequence, settings.duration().toNanos(), withRosters);
    }

    private LeaseRequest request(Moment now, long number, long durationNanos, boolean withRosters) {
        Optional<Roster> newest = history.current();
        return new LeaseRequest(
                service,
                self,
                incarnation,
                now.epochMillis(),
                number,
                durationNanos,
                newest.map(Roster::last).orElse(0L),
                newest.map(Roster::digest).orElse(0L),
                terms.previous().map(Roster::digest).orElse(0L),
                history.closedBelow(),
                history.closedForNanos(now.nanos()),
                withRosters ? history.views() : List.of());
    }

    private LeaseReply reply(Moment now, LeaseRequest request, LeaseGranter.Decision decision) {
        boolean behind = history.current()
                .filter(newest -> newest.digest() != request.rosterDigest())
                .isPresent();
        return new LeaseReply(
                service,
                self,
                request.sequence(),
                decision.verdict(),
                recovery.pending(),
                decision.freeNanos(),
                decision.freeForUnmovedNanos(),
                history.current().map(Roster::last).orElse(0L),
                history.closedBelow(),
                history.closedForNanos(now.nanos()),
                behind || history.inTransition() ? history.views() : List.of());
    }

    private void voteForSelf(Moment now) {
        LeaseRequest own = request(now, false);
        LeaseGranter.Decision decision = granter.decide(now, own, recovery.pending());
        count(now, reply(now, own, decision));
    }

    private void count(Moment now, LeaseReply reply) {
        Round round = rounds.get(reply.sequence());
        boolean granted =
                reply.verdict() == LeaseVerdict.GRANTED || reply.verdict() == LeaseVerdict.GRANTED_FOR_UNMOVED;
        boolean current = round != null
                && history.current()
                        .filter(newest -> newest.digest() == round.digest)
                        .isPresent();
        if (granted && current) {
            long freeFrom = now.nanos() - settings.minimumElapsed(reply.freeNanos());
            long unmovedFrom = now.nanos() - settings.minimumElapsed(reply.freeForUnmovedNanos());
            votes.add(reply.granter(), new Vote(round.sentNanos, reply.verdict(), freeFrom, unmovedFrom));
        }
    }

    /** Repeats the request at once, with the rosters, if the granter did not know the roster. */
    private List<Effect> repeatWithRosters(Moment now, NodeName granterName, LeaseReply reply) {
        if (reply.verdict() != LeaseVerdict.UNKNOWN_ROSTER) {
            uninformed.remove(granterName);
            return List.of();
        }
        boolean askAgain = uninformed.add(granterName) && !released && rounds.containsKey(sequence);
        return askAgain ? List.of(new Effect.SendToPeer(granterName, request(now, true))) : List.of();
    }

    private List<Effect> reportClock(NodeName granterName, LeaseReply reply) {
        if (reply.verdict() != LeaseVerdict.CLOCKS_APART) {
            clocksApart.remove(granterName);
            return List.of();
        }
        boolean changed = clocksApart.add(granterName);
        String message = "lease refused: wall clocks are more than "
                + settings.clockMargin().toMillis() / 2 + " ms apart";
        return changed ? List.of(new Effect.LogChange(Step.OWNERSHIP, granterName, message)) : List.of();
    }

    private List<Effect> reportChange(Moment now) {
        boolean held = held(now);
        if (held == reportedHeld) {
            return List.of();
        }
        reportedHeld = held;
        String message = held ? "lease acquired" : "lease lost";
        return List.of(new Effect.LogChange(Step.OWNERSHIP, self.node(), message));
    }
}
