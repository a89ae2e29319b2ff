package org.carawaysill.policy.fleet;

import java.time.Duration;
import java.util.Optional;
import org.carawaysill.model.fleet.Organisation;
import org.carawaysill.model.fleet.Route;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.model.request.RefusalReason;
import org.carawaysill.model.request.Step;
import org.carawaysill.policy.fleet.OutgoingRequest.Origin;
import org.carawaysill.policy.fleet.route.SplitShares;

/**
 * Finds the route of each request that arrives at this node. Refuses at once requests without a route, requests without
 * the key that the route requires, and requests that arrive while the node stops. A request that is refused here has
 * not run.
 *
 * <p>Not thread safe: owned by the policy.
 */
final class Arrivals {

    private final PublishedView view;
    private final Admission admission;
    private final FinalAnswers answers;
    private final Identification identification;
    private final SplitShares splits = new SplitShares();
    private Intake intake = Intake.ALL;

    /** Which requests a node accepts. */
    enum Intake {
        /** Requests of clients, and calls of the local copy. */
        ALL,
        /** Calls of the local copy only: without them, the requests that the copy runs could not be finished. */
        CALLS,
        /**
         * None. Guards against a request that arrives while the process closes its connections: it would be sent to the
         * copy, and the process would end within 0.1 s, so that the client gets no answer and the work of the
         * copy is wasted.
         */
        NOTHING
    }

    Arrivals(PublishedView view, Admission admission, FinalAnswers answers) {
        this.view = view;
        this.admission = admission;
        identification = new Identification(view);
        this.answers = answers;
    }

    /** Sets which requests are accepted from now on. */
    void setIntake(Intake newIntake) {
        intake = newIntake;
    }

    /** Creates an outgoing request for an arrival; returns empty if the arrival is refused. */
    Optional<OutgoingRequest> accept(long now, FleetEvent.RequestArrived arrival) {
        if (intake == Intake.NOTHING) {
            return refused(arrival, RefusalReason.DRAINING, Step.DRAIN);
        }
        if (view.configuration().isEmpty()) {
            return refused(arrival, RefusalReason.NO_CONFIGURATION, Step.CONFIGURATION);
        }
        Optional<Route> found =
                view.routes().find(arrival.host(), arrival.content().path());
        if (found.isEmpty()) {
            return refused(arrival, RefusalReason.UNKNOWN_OPERATION, Step.ROUTING);
        }
        Route route = found.get();
        return switch (identification.identify(now, arrival.credential(), route)) {
            case Identification.Result.Refused(RefusalReason reason) -> refused(arrival, reason, Step.INGRESS);
            case Identification.Result.Accepted(Optional<Organisation> organisation) ->
                accept(now, arrival, route, organisation);
        };
    }

    private Optional<OutgoingRequest> accept(
            long now, FleetEvent.RequestArrived arrival, Route route, Optional<Organisation> organisation) {
        Origin origin = admission.origin(now, arrival, route, organisation);
        if (intake == Intake.CALLS && !admission.isCall(route, origin)) {
            return refused(arrival, RefusalReason.DRAINING, Step.DRAIN);
        }
        Duration wait = arrival.clientTimeout()
                .filter(timeout -> timeout.compareTo(route.timeout()) < 0)
                .orElse(route.timeout());
        return Optional.of(new OutgoingRequest(
                identification.toForward(arrival), route, splits.next(route), origin, now, now + wait.toNanos()));
    }

    private Optional<OutgoingRequest> refused(FleetEvent.RequestArrived arrival, RefusalReason reason, Step step) {
        answers.refuseUnaccepted(
                arrival, new Outcome.NotRun(reason, EntryOutcomes.UNREACHABLE_RETRY_AFTER, step, Optional.empty()));
        return Optional.empty();
    }
}
