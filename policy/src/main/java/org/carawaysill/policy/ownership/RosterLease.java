package org.carawaysill.policy.ownership;

import java.util.List;
import java.util.Optional;
import org.carawaysill.model.configuration.ServiceConfiguration;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.model.vm.VmList;
import org.carawaysill.policy.effect.Effect;
import org.carawaysill.policy.message.PeerMessage.LeaseReply;
import org.carawaysill.policy.message.PeerMessage.LeaseRequest;
import org.carawaysill.policy.message.PeerMessage.RosterMember;
import org.carawaysill.policy.time.Moment;

/**
 * The lease under which this node may act as holder. Not thread safe: one thread owns it.
 */
public final class RosterLease {

    /**
     * Makes a node without a lease.
     *
     * @param self this node as its settings describe it
     * @param incarnation the start time of this process in milliseconds since 1970
     * @param service the service of this node
     * @param settings the times
     * @param start the moment at which the process started
     */
    public RosterLease(
            RosterMember self, long incarnation, ServiceName service, LeaseSettings settings, Moment start) {}

    /**
     * Takes a published roster in.
     *
     * @param now the moment
     * @param configuration the configuration that publishes it
     */
    public void roster(Moment now, ServiceConfiguration configuration) {}

    /**
     * Takes the platform's list of VMs in.
     *
     * @param now the moment
     * @param list the list
     */
    public void vmList(Moment now, VmList list) {}

    /**
     * Renews the lease if it is time.
     *
     * @param now the moment
     * @return messages to send
     */
    public List<Effect> wakeUp(Moment now) {
        return List.of();
    }

    /**
     * Decides about another node's request.
     *
     * @param now the moment
     * @param from the other node
     * @param request its request
     * @return the reply to send
     */
    public List<Effect> requested(Moment now, NodeName from, LeaseRequest request) {
        return List.of();
    }

    /**
     * Takes a reply in.
     *
     * @param now the moment
     * @param from the other node
     * @param reply its reply
     * @return what changed
     */
    public List<Effect> replied(Moment now, NodeName from, LeaseReply reply) {
        return List.of();
    }

    /**
     * Gives the lease up for good, before a planned stop.
     *
     * @param now the moment
     * @return messages to send
     */
    public List<Effect> release(Moment now) {
        return List.of();
    }

    /**
     * Tells whether the lease is in force.
     *
     * @param now the moment
     * @return whether this node may act as holder
     */
    public boolean held(Moment now) {
        return false;
    }

    /**
     * Finds the holder of a request under the roster in force here.
     *
     * @param request the request
     * @return the holder, or empty before a roster is known
     */
    public Optional<NodeName> holder(org.carawaysill.model.identity.RequestIdentifier request) {
        return Optional.empty();
    }

    /**
     * Tells when {@link #wakeUp} is due.
     *
     * @return a time on the monotonic clock in nanoseconds, {@link Long#MAX_VALUE} for never
     */
    public long nextWakeNanos() {
        return Long.MAX_VALUE;
    }
}
