package org.carawaysill.policy.ownership;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.carawaysill.model.configuration.ServiceConfiguration;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.RequestIdentifier;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.model.request.UnknownReason;
import org.carawaysill.model.vm.VmList;
import org.carawaysill.policy.effect.Effect;
import org.carawaysill.policy.message.PeerMessage.HolderEntry;
import org.carawaysill.policy.message.PeerMessage.HolderHandover;
import org.carawaysill.policy.message.PeerMessage.LeaseReply;
import org.carawaysill.policy.message.PeerMessage.LeaseRequest;
import org.carawaysill.policy.message.PeerMessage.RosterMember;
import org.carawaysill.policy.time.Moment;

/**
 * Decides for the requests that this node holds, and that must run at most once, whether an attempt may run now.
 *
 * <p>Invariant: over all nodes of a service and all their restarts, at most one {@link #claim} of a request is answered
 * with {@link Claim.Run}, not counting claims released by {@link #notRun}. Not thread safe: one thread owns it.
 */
public final class Holder {

    private final NodeName self;
    private final ServiceName service;
    private final LeaseSettings leaseSettings;
    private final RosterLease lease;
    private final HolderTable table;
    private final Handovers handovers;
    private boolean handedOver;

    /**
     * Creates a holder without a roster, a lease or entries.
     *
     * @param self this node, as its settings describe it
     * @param incarnation the start time of this process in milliseconds since 1970
     * @param service the service of this node
     * @param start the moment at which the process started
     * @param leaseSettings the times of leases
     * @param settings the bounds of the table
     */
    public Holder(
            RosterMember self,
            long incarnation,
            ServiceName service,
            Moment start,
            LeaseSettings leaseSettings,
            HolderSettings settings) {
        this.self = self.node();
        this.service = service;
        this.leaseSettings = leaseSettings;
        this.lease = new RosterLease(self, incarnation, service, leaseSettings, start);
        this.table = new HolderTable(settings);
        this.handovers = new Handovers(self.node());
    }

    /**
     * Processes a published roster.
     *
     * @param now the moment
     * @param configuration the configuration that publishes it
     * @return messages to send
     */
    public List<Effect> roster(Moment now, ServiceConfiguration configuration) {
        lease.roster(now, configuration);
        return lease.wakeUp(now);
    }

    /**
     * Processes the platform's list of VMs.
     *
     * @param now the moment
     * @param list the list
     */
    public void vmList(Moment now, VmList list) {
        lease.vmList(now, list);
    }

    /**
     * Renews the lease if that is due.
     *
     * @param now the moment
     * @return messages to send
     */
    public List<Effect> wakeUp(Moment now) {
        return lease.wakeUp(now);
    }

    /**
     * Returns when {@link #wakeUp} is due.
     *
     * @return a time on the monotonic clock in nanoseconds, {@link Long#MAX_VALUE} for never
     */
    public long nextWakeNanos() {
        return lease.nextWakeNanos();
    }

    /**
     * Decides about another node's request for a lease.
     *
     * @param now the moment
     * @param from the other node
     * @param request its request
     * @return the reply to send
     */
    public List<Effect> requested(Moment now, NodeName from, LeaseRequest request) {
        return lease.requested(now, from, request);
    }

    /**
     * Processes a reply to this node's request for a lease.
     *
     * @param now the moment
     * @param from the other node
     * @param reply its reply
     * @return messages to send, and log lines about changes
     */
    public List<Effect> replied(Moment now, NodeName from, LeaseReply reply) {
        return lease.replied(now, from, reply);
    }

    /**
     * Returns the holder of a request under the roster in force here.
     *
     * @param request the request
     * @return the holder, or empty before a roster is known
     */
    public Optional<NodeName> holder(RequestIdentifier request) {
        return lease.holder(request);
    }

    /**
     * Returns whether this node may act as holder.
     *
     * @param now the moment
     * @return whether it has a lease in force
     */
    public boolean held(Moment now) {
        return lease.held(now);
    }

    /**
     * Decides about an attempt at a request that must run at most once.
     *
     * <p>Guards against a process that is paused, is replaced by another node as holder, and acts after it resumes: the lease
     * is checked against the moment after it resumed. A request that was claimed before the pause may still be handed to a
     * copy after it, since the other node vouches only for identifiers minted after the lease ended and so does not run it.
     *
     * @param now the moment, taken after the attempt was received
     * @param key the request, and when its identifier was minted
     * @param contentHash a hash of its content, which reveals a reused identifier
     * @return the decision
     */
    public Claim claim(Moment now, RequestKey key, int contentHash) {
        Optional<Claim> known = table.known(key.request(), contentHash);
        if (known.isPresent()) {
            return known.get();
        }
        Optional<LeaseTerm> term = lease.term(now, key.request());
        if (term.isEmpty()) {
            return new Claim.MayHaveRun(reasonWithoutTerm(key.request()));
        }
        return table.claim(now, key, contentHash, vouch(now, key.request(), term.get()));
    }

    private UnknownReason reasonWithoutTerm(RequestIdentifier request) {
        boolean own = holder(request).filter(self::equals).isPresent();
        return own ? UnknownReason.NO_LEASE : UnknownReason.HOLDER_UNREACHABLE;
    }

    private Vouch vouch(Moment now, RequestIdentifier request, LeaseTerm term) {
        return new Vouch(
                term.sinceNanos(),
                term.sinceMillis(now),
                leaseSettings.clockMargin().toMillis(),
                handovers.intervals(request));
    }

    /**
     * Releases a claim on a request that was not handed to a copy and never will be.
     *
     * @param request the request
     */
    public void notRun(RequestIdentifier request) {
        table.notRun(request);
    }

    /**
     * Records the outcome of a request.
     *
     * @param request the request
     * @param outcome its outcome; {@link Outcome.NotRun} releases the claim
     */
    public void finished(RequestIdentifier request, Outcome outcome) {
        table.finished(request, outcome);
    }

    /**
     * Returns the number of recorded requests.
     *
     * @return the number of entries
     */
    public int size() {
        return table.size();
    }

    /**
     * Stops claiming permanently, releases the lease and hands the table over, before a planned stop.
     *
     * <p>Guards against this node and its successor both acting on an identifier: this node stops before the first message
     * is created. A later call hands nothing over.
     *
     * @param now the moment
     * @return messages to send
     */
    public List<Effect> handover(Moment now) {
        if (handedOver) {
            return List.of();
        }
        handedOver = true;
        LeaseTerm term = lease.term();
        List<Effect> effects = new ArrayList<>(lease.release(now));
        Optional<Roster> roster = lease.roster();
        if (roster.isPresent() && term.everHeld()) {
            effects.addAll(handovers.handOver(service, roster.get(), interval(now, term), entriesHeld(roster.get())));
        }
        return effects;
    }

    private Vouch.Interval interval(Moment now, LeaseTerm term) {
        long untilNanos = Math.min(now.nanos(), term.untilNanos());
        long fromMillis = Math.max(term.sinceMillis(now), table.forgottenMillis());
        return new Vouch.Interval(fromMillis, LeaseTerm.wallMillis(now, untilNanos));
    }

    private List<HolderEntry> entriesHeld(Roster roster) {
        return table.entries().stream()
                .filter(entry -> roster.assigns(entry.request(), self))
                .toList();
    }

    /**
     * Accepts a part of a leaving holder's table.
     *
     * @param now the moment
     * @param from the leaving node
     * @param handover the part
     */
    public void accept(Moment now, NodeName from, HolderHandover handover) {
        if (handover.service().equals(service)) {
            handovers.accept(now, from, handover, lease.roster(handover.rosterDigest()), table);
        }
    }
}
