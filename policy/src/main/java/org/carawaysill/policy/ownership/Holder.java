package org.carawaysill.policy.ownership;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.carawaysill.model.configuration.ServiceConfiguration;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.RequestIdentifier;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.model.request.RefusalReason;
import org.carawaysill.model.vm.VmList;
import org.carawaysill.policy.effect.Effect;
import org.carawaysill.policy.message.PeerMessage.HolderHandover;
import org.carawaysill.policy.message.PeerMessage.LeaseReply;
import org.carawaysill.policy.message.PeerMessage.LeaseRequest;
import org.carawaysill.policy.message.PeerMessage.RosterMember;
import org.carawaysill.policy.time.Moment;

/**
 * A node in its part as holder: decides, alone among all nodes, whether a request that must run at most once runs now.
 *
 * <p>Invariant: over all nodes of a service and all their restarts, at most one {@link #claim} of a request is answered
 * with {@link Claim.Run}, not counting claims released by {@link #notRun}. Not thread safe: one thread owns it.
 */
public final class Holder {

    private final RosterLease lease;

    /**
     * Makes a holder that knows nothing yet.
     *
     * @param self this node as its settings describe it
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
        this.lease = new RosterLease(self, incarnation, service, leaseSettings, start);
    }

    /**
     * Takes a published roster in.
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
     * Takes the platform's list of VMs in.
     *
     * @param now the moment
     * @param list the list
     */
    public void vmList(Moment now, VmList list) {
        lease.vmList(now, list);
    }

    /**
     * Renews the lease if it is time.
     *
     * @param now the moment
     * @return messages to send
     */
    public List<Effect> wakeUp(Moment now) {
        return lease.wakeUp(now);
    }

    /**
     * Tells when {@link #wakeUp} is due.
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
     * Takes a reply to this node's request for a lease in.
     *
     * @param now the moment
     * @param from the other node
     * @param reply its reply
     * @return what changed
     */
    public List<Effect> replied(Moment now, NodeName from, LeaseReply reply) {
        return lease.replied(now, from, reply);
    }

    /**
     * Finds the holder of a request under the roster in force here.
     *
     * @param request the request
     * @return the holder, or empty before a roster is known
     */
    public Optional<NodeName> holder(RequestIdentifier request) {
        return lease.holder(request);
    }

    /**
     * Tells whether this node may act as holder.
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
     * @param now the moment
     * @param key the request, and when its identifier was minted
     * @param contentHash a hash of its content, by which a reused identifier is found
     * @return what may be done
     */
    public Claim claim(Moment now, RequestKey key, int contentHash) {
        return new Claim.Refused(RefusalReason.NO_LEASE, Duration.ofSeconds(1));
    }

    /**
     * Releases a claim: nothing of the request was handed to a copy.
     *
     * @param request the request
     */
    public void notRun(RequestIdentifier request) {}

    /**
     * Remembers what a request came to.
     *
     * @param now the moment
     * @param request the request
     * @param outcome what it came to
     */
    public void finished(Moment now, RequestIdentifier request, Outcome outcome) {}

    /**
     * Stops claiming for good, gives the lease back and hands the table over, before a planned stop.
     *
     * @param now the moment
     * @return messages to send
     */
    public List<Effect> handover(Moment now) {
        return lease.release(now);
    }

    /**
     * Takes over what a leaving holder knows.
     *
     * @param now the moment
     * @param from the leaving node
     * @param handover a part of its table
     */
    public void accept(Moment now, NodeName from, HolderHandover handover) {}
}
