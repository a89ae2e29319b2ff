package org.carawaysill.policy.fleet;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.policy.fleet.copy.Copy;
import org.carawaysill.policy.fleet.mechanism.Mechanism;
import org.carawaysill.policy.fleet.placing.Placing;
import org.carawaysill.policy.fleet.placing.ServiceMeans;
import org.carawaysill.policy.fleet.placing.UsualTimes;
import org.carawaysill.policy.fleet.placing.Way;
import org.carawaysill.policy.message.PeerMessage.SlotTime;
import org.carawaysill.policy.time.Nanos;

/**
 * How each request of this node is placed, and what its runs tell of their copies.
 *
 * <p>Invariant: requests of services that do not do both short and long work are placed by load, and nothing is learned
 * from them. Not thread safe: owned by the policy.
 */
final class RequestPlacing {

    /** The bytes of a request and its answer without their bodies. */
    private static final double HOP_BYTES = 800;

    /** A request of this size may wait a quarter of its aim rather than be sent to another zone, a huge one half. */
    private static final double HALF_WAY_BYTES = 4000;

    /** The part of its aim that a request may wait rather than be sent to another zone. */
    private static final double CROSSING_PART = 0.5;

    /** What a failed try costs where a route has no aim, in usual times. */
    private static final double FAILURE_RUNS = 4;

    private final FleetSettings settings;
    private final PublishedView view;
    private final Effects effects;
    private final Set<Mechanism> disabled;
    private final UsualTimes routeTimes = new UsualTimes();
    private final Map<ServiceName, ServiceMeans> means = new HashMap<>();

    RequestPlacing(FleetParts parts) {
        settings = parts.settings();
        view = parts.view();
        effects = parts.effects();
        disabled = settings.disabledMechanisms();
    }

    /** Returns how a request is placed among the copies of its service. */
    Placing of(long now, OutgoingRequest request, List<Copy> copies, double bytes) {
        ServiceName service = request.service();
        if (!isByCompletion(service)) {
            return Placing.LeastLoad.INSTANCE;
        }
        ServiceMeans ofService = currentMeans(now, service, copies);
        double usual = usualSeconds(request, ofService);
        Duration aim = request.route().targetLatency();
        double aimSeconds = aim.toNanos() / Nanos.PER_SECOND;
        boolean hasAim = aim.isPositive();
        double yardstick = hasAim ? aimSeconds : FAILURE_RUNS * usual;
        double size = HOP_BYTES + Math.max(0, bytes);
        return new Placing.EarliestCompletion(
                usual,
                ofService.urgency(hasAim ? aimSeconds : 0),
                disabled.contains(Mechanism.NEARNESS) ? 0 : CROSSING_PART * yardstick * size / (size + HALF_WAY_BYTES),
                yardstick,
                hasAim ? aimSeconds - (now - request.arrivedNanos()) / Nanos.PER_SECOND : Double.POSITIVE_INFINITY,
                (request.deadlineNanos() - now) / Nanos.PER_SECOND);
    }

    private boolean isByCompletion(ServiceName service) {
        return view.mixedServices().contains(service) && !disabled.contains(Mechanism.EXPECTED_COMPLETION);
    }

    private double usualSeconds(OutgoingRequest request, ServiceMeans ofService) {
        double known = routeTimes.usual(request.route().name());
        return known > 0 ? known : ofService.runSeconds();
    }

    private ServiceMeans currentMeans(long now, ServiceName service, List<Copy> copies) {
        ServiceMeans ofService = means.computeIfAbsent(service, _ -> new ServiceMeans());
        if (ofService.begin(now)) {
            for (Copy copy : copies) {
                ofService.add(copy.estimate(), copy.requestsThere());
            }
            boolean speedCounts = !disabled.contains(Mechanism.COPY_SPEED);
            for (Copy copy : copies) {
                ofService.passOn(now, copy.estimate(), way(copy), speedCounts);
                if (copy.estimate().hasChangedPace()) {
                    effects.log(new Decision.CopyPaced(
                            copy.record().copy(), copy.estimate().slowness()));
                }
            }
        }
        return ofService;
    }

    private Way way(Copy copy) {
        if (disabled.contains(Mechanism.NEARNESS)) {
            return Way.ANY;
        }
        if (copy.node().equals(settings.self())) {
            return Way.OWN_VM;
        }
        return copy.record().zone().equals(settings.zone()) ? Way.OWN_ZONE : Way.OTHER_ZONE;
    }

    /** Learns from a run that ended. */
    void ended(long now, OutgoingRequest request, Copy copy, Outcome outcome, List<SlotTime> times) {
        ServiceName service = request.service();
        if (!isByCompletion(service) || !AttemptRules.isSuccess(outcome)) {
            return;
        }
        for (SlotTime time : times) {
            if (time.service().equals(service)) {
                String route = request.route().name();
                double seconds = time.seconds() / copy.slowdown(now, !disabled.contains(Mechanism.COLD_FACTOR));
                double usual = routeTimes.usual(route);
                if (usual > 0 && !disabled.contains(Mechanism.COPY_SPEED)) {
                    copy.estimate().measure(now, seconds / usual);
                }
                routeTimes.measure(route, seconds, copy.estimate().slowness());
            }
        }
    }

    /** Removes what was learned of routes that are no longer published. */
    void retain(Collection<String> routes) {
        routeTimes.retain(routes);
        means.keySet().removeIf(service -> !view.mixedServices().contains(service));
    }
}
