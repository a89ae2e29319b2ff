package org.carawaysill.policy.fleet;

import org.carawaysill.model.request.Outcome;
import org.carawaysill.model.request.RefusalReason;
import org.carawaysill.model.request.UnknownReason;
import org.carawaysill.policy.fleet.entry.DemandKey;
import org.carawaysill.policy.fleet.entry.DemandMeter;
import org.carawaysill.policy.fleet.entry.EntryPlan;
import org.carawaysill.policy.fleet.mechanism.Mechanism;

/**
 * Completes requests that entered at this node: answers them, logs them, and updates demand and route costs.
 *
 * <p>Invariant: only callers' requests update route costs; the cost of a copy's call is part of the cost of the request
 * that it belongs to. Not thread safe: owned by the policy.
 */
final class FinalAnswers {

    private final Effects effects;
    private final PublishedView view;
    private final DemandMeter demand;
    private final EntryPlan plan;
    private final boolean successShares;

    FinalAnswers(FleetParts parts) {
        effects = parts.effects();
        view = parts.view();
        demand = parts.demand();
        plan = parts.plan();
        successShares = !parts.settings().disabledMechanisms().contains(Mechanism.SUCCESS_SHARES);
    }

    /** Answers a request that is refused before it is accepted. */
    void refuseUnaccepted(FleetEvent.RequestArrived arrival, Outcome.NotRun refusal) {
        effects.count(refusal.reason());
        effects.log(new Decision.Answered(arrival.requestName(), "-", refusal, 0, 0, 1, view.version()));
        effects.add(new FleetEffect.AnswerExchange(arrival.exchange(), refusal));
    }

    void answer(long now, OutgoingRequest request, Outcome outcome) {
        String route = request.route().name();
        DemandKey key = request.demandKey();
        if (request.origin().depth() == 0) {
            updateCosts(key, request, outcome);
            countSuccess(key, request, outcome);
        } else if (AttemptRules.isSuccess(outcome) && measuresSuccess(request)) {
            plan.addCost(route, request.times().list());
        }
        switch (outcome) {
            case Outcome.Answered _ -> {}
            case Outcome.NotRun notRun -> effects.count(notRun.reason());
            case Outcome.Unknown unknown -> effects.count(unknown.reason());
        }
        effects.log(new Decision.Answered(
                request.arrival().requestName(),
                route,
                outcome,
                request.sentAttempts(),
                now - request.arrivedNanos(),
                plan.share(key),
                view.version()));
        effects.add(new FleetEffect.AnswerExchange(request.arrival().exchange(), outcome));
    }

    /** Counts an admitted request; one whose caller gave up says nothing about copies. */
    private void countSuccess(DemandKey key, OutgoingRequest request, Outcome outcome) {
        boolean gaveUp = outcome instanceof Outcome.Unknown unknown && unknown.reason() == UnknownReason.DEADLINE;
        boolean counts = successShares && !view.mixedServices().isEmpty();
        if (counts && request.sentAttempts() > 0 && !gaveUp) {
            demand.ended(key, AttemptRules.isSuccess(outcome));
        }
    }

    /** Counts a call of a copy that another copy took or rejected. */
    void attemptEnded(OutgoingRequest request, Outcome outcome) {
        boolean rejected = outcome instanceof Outcome.NotRun notRun && notRun.reason() == RefusalReason.COPY_REFUSED;
        if (request.origin().depth() > 0
                && (rejected || outcome instanceof Outcome.Answered)
                && measuresSuccess(request)) {
            demand.tried(request.route().name(), !rejected);
        }
    }

    private boolean measuresSuccess(OutgoingRequest request) {
        return successShares && view.mixedServices().contains(request.service());
    }

    private void updateCosts(DemandKey key, OutgoingRequest request, Outcome outcome) {
        if (AttemptRules.isSuccess(outcome)) {
            demand.completed(key);
            plan.addCost(key.route(), request.times().list());
        } else {
            plan.addMinimumCost(key.route(), request.times().list());
        }
    }
}
