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
import org.carawaysill.model.request.Body;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.policy.fleet.copy.Copy;
import org.carawaysill.policy.fleet.copy.LocalRun;
import org.carawaysill.policy.fleet.entry.DemandKey;
import org.carawaysill.policy.fleet.entry.RefusalOrder;
import org.carawaysill.policy.fleet.entry.SlotTimes;

/**
 * A request that entered at this node, from its arrival until its final answer.
 *
 * <p>Not thread safe: owned by the policy.
 */
final class OutgoingRequest {

    private final FleetEvent.RequestArrived arrival;
    private final Route route;
    private final ServiceName service;
    private final Origin origin;
    private final long arrivedNanos;
    private final long deadlineNanos;
    private final Set<CopyName> tried = new HashSet<>();
    private final SlotTimes times = new SlotTimes();
    private Optional<Copy> copy = Optional.empty();
    private Optional<AttemptIdentifier> attempt = Optional.empty();
    private Optional<Outcome.Unknown> lostAnswer = Optional.empty();
    private Optional<NodeName> permittedNode = Optional.empty();
    private Optional<OrganisationName> charged = Optional.empty();
    private int sentAttempts;
    private int possibleRuns;
    private boolean sentBack;
    private boolean awaitsPlace;

    /**
     * The caller's request on whose behalf a request is made.
     *
     * @param rootRoute the route of the caller's request
     * @param organisation the organisation whose key this request carried; empty if it carried none, as calls of copies
     *     do
     * @param rank the rank of the caller's request in the order of refusal, by organisation and route
     * @param depth the number of calls between the caller's request and this one
     * @param rootArrivedNanos when the caller's request arrived, on this node's clock
     * @param caller the node at which the caller's request arrived
     * @param parent the running request that makes this call, if known
     */
    record Origin(
            String rootRoute,
            Optional<Organisation> organisation,
            int rank,
            int depth,
            long rootArrivedNanos,
            NodeName caller,
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
            long deadlineNanos) {
        this.arrival = arrival;
        this.route = route;
        this.service = service;
        this.origin = origin;
        this.arrivedNanos = arrivedNanos;
        this.deadlineNanos = deadlineNanos;
    }

    FleetEvent.RequestArrived arrival() {
        return arrival;
    }

    Body body() {
        return arrival.content().body();
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

    /** Returns the key of the requests that share this request's admitted share. */
    DemandKey demandKey() {
        return new DemandKey(route.name(), RefusalOrder.organisationRank(origin.rank()));
    }

    long arrivedNanos() {
        return arrivedNanos;
    }

    /** Returns when the client must have an answer: its own deadline or the route's timeout, whichever comes first. */
    long deadlineNanos() {
        return deadlineNanos;
    }

    /** Notes that the request was counted against an organisation's allowance. */
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
        sentAttempts++;
    }

    /** Describes the last send for the log. */
    Decision.Sent describeSend(Copy to, double expectedLoad, long version) {
        return new Decision.Sent(
                arrival.requestName(),
                route.name(),
                origin.rootRoute(),
                origin.depth(),
                to.record().copy(),
                to.node(),
                sentAttempts,
                expectedLoad,
                version);
    }

    Optional<Copy> copy() {
        return copy;
    }

    /** Returns whether the present attempt was sent to a node. */
    boolean isAt(NodeName node) {
        return copy.filter(to -> to.node().equals(node)).isPresent();
    }

    Optional<AttemptIdentifier> attempt() {
        return attempt;
    }

    /** Notes that the present attempt is sent without its body. */
    void awaitPlace() {
        awaitsPlace = true;
    }

    /** Notes that the body of the present attempt was sent. */
    void bodySent() {
        awaitsPlace = false;
    }

    /** Returns whether the body of the present attempt was not sent, so that no copy can have run it. */
    boolean awaitsPlace() {
        return awaitsPlace;
    }

    /** Notes that a copy sent the request back because of its own limit of requests per second. */
    void sentBack() {
        sentBack = true;
    }

    boolean isSentBack() {
        return sentBack;
    }

    /** Restricts the request to the copy of a node: another node replied that it may run only there. */
    void restrictTo(NodeName node) {
        permittedNode = Optional.of(node);
    }

    /** Returns whether the request may be sent to the copy of a node. */
    boolean maySendTo(NodeName node) {
        return permittedNode.isEmpty() || permittedNode.get().equals(node);
    }

    void attemptEnded() {
        copy = Optional.empty();
        attempt = Optional.empty();
        awaitsPlace = false;
    }

    Set<CopyName> tried() {
        return tried;
    }

    /** Returns the number of attempts sent. */
    int sentAttempts() {
        return sentAttempts;
    }

    /** Notes that an attempt may have reached a copy. */
    void countPossibleRun() {
        possibleRuns++;
    }

    /** Notes that a copy may have run an attempt whose answer was lost. */
    void answerLost(Outcome.Unknown outcome) {
        lostAnswer = Optional.of(outcome);
    }

    /**
     * Returns the outcome to send to the client.
     *
     * <p>Guards against answering "not run" for a request that a copy has begun: one attempt's answer was lost, and the
     * next attempt was refused. The outcome of the whole request is then that of the attempt that may have run.
     *
     * @param last the outcome of the last attempt
     */
    Outcome answer(Outcome last) {
        boolean refused = last instanceof Outcome.NotRun;
        return refused && lostAnswer.isPresent() ? lostAnswer.get() : last;
    }

    /** Returns the number of attempts that may have reached a copy. */
    int possibleRuns() {
        return possibleRuns;
    }

    /** Returns the slot time that the attempts used, including all calls that they caused. */
    SlotTimes times() {
        return times;
    }
}
