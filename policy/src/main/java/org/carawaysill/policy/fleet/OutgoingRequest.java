package org.carawaysill.policy.fleet;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.carawaysill.model.fleet.CopyName;
import org.carawaysill.model.fleet.Organisation;
import org.carawaysill.model.fleet.Route;
import org.carawaysill.model.identity.AttemptIdentifier;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.OrganisationName;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.policy.fleet.copy.Copy;
import org.carawaysill.policy.fleet.copy.LocalRun;
import org.carawaysill.policy.fleet.entry.DemandKey;
import org.carawaysill.policy.fleet.entry.RefusalOrder;
import org.carawaysill.policy.fleet.entry.SlotTimes;

/**
 * A request that began beside this node, from its arrival until its final answer.
 *
 * <p>Not thread safe: owned by the policy.
 */
final class OutgoingRequest {

    private final FleetEvent.RequestArrived arrival;
    private final Route route;
    private final ServiceName service;
    private final Origin origin;
    private final long arrivedNanos;
    private final long limitNanos;
    private final Set<CopyName> tried = new HashSet<>();
    private final SlotTimes times = new SlotTimes();
    private Optional<Copy> copy = Optional.empty();
    private Optional<AttemptIdentifier> attempt = Optional.empty();
    private Optional<Outcome.Unknown> lost = Optional.empty();
    private Optional<NodeName> place = Optional.empty();
    private Optional<OrganisationName> charged = Optional.empty();
    private int sends;
    private int handed;
    private boolean finished;

    /**
     * For whose sake a request is made.
     *
     * @param rootRoute the route of the caller's request
     * @param organisation the organisation whose key this request carried; empty where it carried none, as calls do
     * @param rank the place of that in the order of refusal, by organisation and route
     * @param depth calls between that and this one
     * @param rootArrivedNanos when the caller's request arrived, on this node's clock
     * @param parent the running request that makes this call, where it is known
     */
    record Origin(
            String rootRoute,
            Optional<Organisation> organisation,
            int rank,
            int depth,
            long rootArrivedNanos,
            Optional<LocalRun> parent) {

        Optional<OrganisationName> organisationName() {
            return organisation.map(Organisation::name);
        }
    }

    OutgoingRequest(
            FleetEvent.RequestArrived arrival,
            Route route,
            ServiceName service,
            Origin origin,
            long arrivedNanos,
            long limitNanos) {
        this.arrival = arrival;
        this.route = route;
        this.service = service;
        this.origin = origin;
        this.arrivedNanos = arrivedNanos;
        this.limitNanos = limitNanos;
    }

    FleetEvent.RequestArrived arrival() {
        return arrival;
    }

    Route route() {
        return route;
    }

    ServiceName service() {
        return service;
    }

    Origin origin() {
        return origin;
    }

    /** Returns with which other requests it is admitted alike. */
    DemandKey demandKey() {
        return new DemandKey(route.name(), RefusalOrder.organisationRank(origin.rank()));
    }

    long arrivedNanos() {
        return arrivedNanos;
    }

    /** When its client must have an answer: at its own deadline or at the route's timeout, whichever comes first. */
    long limitNanos() {
        return limitNanos;
    }

    /** Notes that it was counted against an organisation's allowance. */
    void charge(OrganisationName organisation) {
        charged = Optional.of(organisation);
    }

    Optional<OrganisationName> charged() {
        return charged;
    }

    void sent(Copy to, AttemptIdentifier identifier) {
        copy = Optional.of(to);
        attempt = Optional.of(identifier);
        tried.add(to.record().copy());
        sends++;
    }

    Optional<Copy> copy() {
        return copy;
    }

    Optional<AttemptIdentifier> attempt() {
        return attempt;
    }

    /** Notes the node beside the one copy at which it may run, as another node said. */
    void place(NodeName node) {
        place = Optional.of(node);
    }

    /** Returns whether it may be sent to the copy beside a node, as far as others said. */
    boolean mayGoTo(NodeName node) {
        return place.isEmpty() || place.get().equals(node);
    }

    void attemptEnded() {
        copy = Optional.empty();
        attempt = Optional.empty();
    }

    Set<CopyName> tried() {
        return tried;
    }

    /** Attempts that were sent anywhere. */
    int sends() {
        return sends;
    }

    /** Notes that an attempt may have reached a copy. */
    void handed() {
        handed++;
    }

    /** Notes that a copy may have run an attempt, whose answer was lost. */
    void lost(Outcome.Unknown outcome) {
        lost = Optional.of(outcome);
    }

    /**
     * Returns what the client is told.
     *
     * <p>Guards against a client that is told "not run" of a request that a copy began: an attempt's answer was lost, and the
     * next attempt was refused. What is known of the whole request is what is known of the attempt that may have run.
     *
     * @param last what the last attempt came to
     */
    Outcome answer(Outcome last) {
        boolean refused = last instanceof Outcome.NotRun;
        return refused && lost.isPresent() ? lost.get() : last;
    }

    /** Attempts that may have reached a copy. */
    int handedCount() {
        return handed;
    }

    /** The slots' time that its attempts took, all calls that they caused included. */
    SlotTimes times() {
        return times;
    }

    void finish() {
        finished = true;
    }

    boolean isFinished() {
        return finished;
    }
}
