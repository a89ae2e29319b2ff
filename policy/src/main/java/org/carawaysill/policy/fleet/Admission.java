package org.carawaysill.policy.fleet;

import java.time.Duration;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.carawaysill.model.fleet.Route;
import org.carawaysill.policy.fleet.OutgoingRequest.Origin;
import org.carawaysill.policy.fleet.copy.LocalRun;
import org.carawaysill.policy.fleet.entry.DemandMeter;
import org.carawaysill.policy.fleet.entry.EntryPlan;
import org.carawaysill.policy.fleet.entry.ShareGate;
import org.carawaysill.policy.message.PeerMessage.CopyRequest;

/**
 * Who is let in, of the requests that begin beside this node.
 *
 * <p>Invariant: a call of a copy is never kept out here, since work has been done for the request that it belongs to. Not
 * thread safe: owned by the policy.
 */
final class Admission {

    private final LocalRuns localRuns;
    private final DemandMeter demand;
    private final EntryPlan plan;
    private final RandomGenerator random;
    private final ShareGate shareGate = new ShareGate();
    private final InnerRoutes innerRoutes = new InnerRoutes();

    Admission(FleetParts parts, RandomGenerator random) {
        localRuns = parts.localRuns();
        demand = parts.demand();
        plan = parts.plan();
        this.random = random;
    }

    /** Tells for whose sake a request is made. */
    Origin origin(long now, FleetEvent.RequestArrived arrival, Route route) {
        Optional<LocalRun> parent = localRuns.parentOf(arrival.requestName());
        if (parent.isPresent()) {
            CopyRequest running = parent.get().request();
            innerRoutes.called(route.name());
            return new Origin(
                    running.rootRoute(),
                    running.rank(),
                    running.depth() + 1,
                    parent.get().rootArrivedNanos(),
                    parent);
        }
        return new Origin(route.name(), route.rank(), 0, now, Optional.empty());
    }

    /** Tells whether a copy makes a request while it runs another, as far as its name or its route tell. */
    boolean isCall(Route route, Origin origin) {
        return origin.parent().isPresent() || innerRoutes.contains(route.name());
    }

    /** Counts a caller's request and decides whether it is let in; calls of copies are. */
    boolean letIn(Route route, Origin origin) {
        if (isCall(route, origin)) {
            return true;
        }
        demand.offered(route.name());
        return shareGate.letIn(route.name(), plan.share(route.name()));
    }

    /**
     * Tells when to come back: spread, so that returns do not come as a herd, and soon enough that an answer is still worth
     * most to the caller, who counts from the first try. A later time does not lower the load: each client comes back once.
     */
    Duration comeBack(Route route) {
        long aim = route.aim().toNanos();
        return Duration.ofNanos(aim / 8 + random.nextLong(Math.max(1, aim / 4)));
    }
}
