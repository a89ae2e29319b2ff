package org.carawaysill.policy.fleet;

import org.carawaysill.model.request.Outcome;
import org.carawaysill.policy.fleet.entry.DemandKey;
import org.carawaysill.policy.fleet.entry.DemandMeter;
import org.carawaysill.policy.fleet.entry.EntryPlan;

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

    FinalAnswers(FleetParts parts) {
        effects = parts.effects();
        view = parts.view();
        demand = parts.demand();
        plan = parts.plan();
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

    private void updateCosts(DemandKey key, OutgoingRequest request, Outcome outcome) {
        if (AttemptRules.isSuccess(outcome)) {
            demand.completed(key);
            plan.addCost(key.route(), request.times().list());
        } else {
            plan.addMinimumCost(key.route(), request.times().list());
        }
    }
}
