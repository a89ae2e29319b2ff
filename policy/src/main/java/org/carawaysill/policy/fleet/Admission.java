package org.carawaysill.policy.fleet;

import java.time.Duration;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.carawaysill.model.fleet.Organisation;
import org.carawaysill.model.fleet.Route;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.model.request.RefusalReason;
import org.carawaysill.model.request.Step;
import org.carawaysill.policy.fleet.OutgoingRequest.Origin;
import org.carawaysill.policy.fleet.allowance.FleetAllowances;
import org.carawaysill.policy.fleet.copy.LocalRun;
import org.carawaysill.policy.fleet.entry.DemandKey;
import org.carawaysill.policy.fleet.entry.DemandMeter;
import org.carawaysill.policy.fleet.entry.EntryPlan;
import org.carawaysill.policy.fleet.entry.RefusalOrder;
import org.carawaysill.policy.fleet.entry.ShareGate;
import org.carawaysill.policy.message.PeerMessage.CopyRequest;

/**
 * Decides which of the requests that enter at this node are admitted.
 *
 * <p>Invariant: a call of a copy is never refused here, since work has already been done for the request that it
 * belongs to. Not thread safe: owned by the policy.
 */
final class Admission {

    private final NodeName self;
    private final Effects effects;
    private final LocalRuns localRuns;
    private final FleetAllowances allowances;
    private final DemandMeter demand;
    private final EntryPlan plan;
    private final RandomGenerator random;
    private final ShareGate shareGate = new ShareGate();
    private final CalledRoutes calledRoutes = new CalledRoutes();

    Admission(FleetParts parts, RandomGenerator random) {
        self = parts.settings().self();
        effects = parts.effects();
        localRuns = parts.localRuns();
        allowances = parts.allowances();
        demand = parts.demand();
        plan = parts.plan();
        this.random = random;
    }

    /**
     * Returns the caller's request on whose behalf a request is made.
     *
     * <p>A request with an organisation's key counts as a caller's own request, whatever its name says. Otherwise a
     * client could bypass admission and its organisation's allowance by naming its request like a call of a copy.
     */
    Origin origin(long now, FleetEvent.RequestArrived arrival, Route route, Optional<Organisation> organisation) {
        Optional<LocalRun> parent =
                organisation.isPresent() ? Optional.empty() : localRuns.parentOf(arrival.requestName());
        if (parent.isPresent()) {
            return call(parent.get(), route);
        }
        int organisationRank = organisation.map(Organisation::rank).orElse(0);
        return new Origin(
                route.name(),
                organisation,
                RefusalOrder.rank(organisationRank, route.rank()),
                0,
                now,
                self,
                Optional.empty());
    }

    private Origin call(LocalRun parent, Route route) {
        CopyRequest running = parent.request();
        calledRoutes.add(route.name());
        return new Origin(
                running.rootRoute(),
                Optional.empty(),
                running.rank(),
                running.depth() + 1,
                parent.rootArrivedNanos(),
                running.caller(),
                Optional.of(parent));
    }

    /** Returns whether a copy makes a request while it runs another one, judged by the request's name or its route. */
    boolean isCall(Route route, Origin origin) {
        return origin.parent().isPresent() || origin.organisation().isEmpty() && calledRoutes.contains(route.name());
    }

    /**
     * Counts a caller's request and decides whether to refuse it; returns empty if it is admitted, as all calls of
     * copies are.
     */
    Optional<Outcome.NotRun> refusal(long now, OutgoingRequest request) {
        Route route = request.route();
        Origin origin = request.origin();
        if (isCall(route, origin)) {
            return Optional.empty();
        }
        Optional<Organisation> organisation = origin.organisation();
        Optional<Duration> retryAfter = organisation.flatMap(known -> allowances.refusal(now, known));
        if (retryAfter.isPresent()) {
            return Optional.of(notRun(RefusalReason.OVER_ALLOWANCE, retryAfter.get()));
        }
        DemandKey key = request.demandKey();
        demand.offered(key);
        if (!shareGate.admit(key, plan.share(key))) {
            effects.count(plan.bound(key));
            return Optional.of(notRun(RefusalReason.OVERLOAD, randomRetryAfter(route)));
        }
        organisation.ifPresent(known -> {
            allowances.take(now, known.name());
            request.charge(known.name());
        });
        return Optional.empty();
    }

    private static Outcome.NotRun notRun(RefusalReason reason, Duration retryAfter) {
        return new Outcome.NotRun(reason, retryAfter, Step.ADMISSION, Optional.empty());
    }

    /** Refunds the organisation's allowance for a request that no copy ran. */
    void refund(long now, OutgoingRequest request, Outcome outcome) {
        if (outcome instanceof Outcome.NotRun) {
            request.charged().ifPresent(name -> allowances.giveBack(now, name, request.arrivedNanos()));
        }
    }

    /**
     * Returns when a refused client should retry. The times are random, so that retries do not arrive in a burst, and
     * short enough that an answer is still worth most to the caller, who counts from the first attempt. A later time
     * does not lower the load: each client retries once.
     */
    private Duration randomRetryAfter(Route route) {
        long targetNanos = route.targetLatency().toNanos();
        return Duration.ofNanos(targetNanos / 8 + random.nextLong(Math.max(1, targetNanos / 4)));
    }
}
