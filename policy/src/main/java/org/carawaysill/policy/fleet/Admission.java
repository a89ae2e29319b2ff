package org.carawaysill.policy.fleet;

import java.time.Duration;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.carawaysill.model.fleet.Organisation;
import org.carawaysill.model.fleet.Route;
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
 * Decides which of the requests that begin beside this node are admitted.
 *
 * <p>Invariant: a call of a copy is never refused here, since work has been done for the request that it belongs to. Not
 * thread safe: owned by the policy.
 */
final class Admission {

    private final LocalRuns localRuns;
    private final FleetAllowances allowances;
    private final DemandMeter demand;
    private final EntryPlan plan;
    private final RandomGenerator random;
    private final ShareGate shareGate = new ShareGate();
    private final InnerRoutes innerRoutes = new InnerRoutes();

    Admission(FleetParts parts, RandomGenerator random) {
        localRuns = parts.localRuns();
        allowances = parts.allowances();
        demand = parts.demand();
        plan = parts.plan();
        this.random = random;
    }

    /**
     * Returns for whose sake a request is made.
     *
     * <p>A request with an organisation's key is a caller's own, whatever its name says: a client that named its request as a
     * call of a copy would else pass admission, and its organisation's allowance.
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
                Optional.empty());
    }

    private Origin call(LocalRun parent, Route route) {
        CopyRequest running = parent.request();
        innerRoutes.called(route.name());
        return new Origin(
                running.rootRoute(),
                Optional.empty(),
                running.rank(),
                running.depth() + 1,
                parent.rootArrivedNanos(),
                Optional.of(parent));
    }

    /** Returns whether a copy makes a request while it runs another, as far as its name or its route tell. */
    boolean isCall(Route route, Origin origin) {
        return origin.parent().isPresent() || origin.organisation().isEmpty() && innerRoutes.contains(route.name());
    }

    /** Counts a caller's request and decides about it; empty where it is admitted, as calls of copies are. */
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
            return Optional.of(notRun(RefusalReason.OVERLOAD, comeBack(route)));
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

    /** Gives back what a request was charged to its organisation, where no copy ran it. */
    void ended(long now, OutgoingRequest request, Outcome outcome) {
        if (outcome instanceof Outcome.NotRun) {
            request.charged().ifPresent(name -> allowances.giveBack(now, name, request.arrivedNanos()));
        }
    }

    /**
     * Returns when to come back: spread, so that returns do not come as a herd, and soon enough that an answer is still worth
     * most to the caller, who counts from the first try. A later time does not lower the load: each client comes back once.
     */
    private Duration comeBack(Route route) {
        long aim = route.aim().toNanos();
        return Duration.ofNanos(aim / 8 + random.nextLong(Math.max(1, aim / 4)));
    }
}
