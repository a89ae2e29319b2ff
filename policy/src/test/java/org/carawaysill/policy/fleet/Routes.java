package org.carawaysill.policy.fleet;

import java.time.Duration;
import java.util.List;
import org.carawaysill.model.fleet.Destination;
import org.carawaysill.model.fleet.RequestKind;
import org.carawaysill.model.fleet.Route;
import org.carawaysill.model.identity.ServiceName;

/** Creates routes for tests, named by their prefix, to one service. Stateless and thread safe. */
final class Routes {

    private Routes() {}

    static Route route(String path, String service, boolean idempotent, int rank, long timeoutMillis, long aimMillis) {
        return route(path, service, idempotent, rank, timeoutMillis, aimMillis, 2);
    }

    static Route route(
            String path,
            String service,
            boolean idempotent,
            int rank,
            long timeoutMillis,
            long aimMillis,
            int maximumAttempts) {
        return new Route(
                path,
                "fleet.example",
                path,
                List.of(new Destination(new ServiceName(service), 1)),
                idempotent ? RequestKind.READ : RequestKind.WRITE,
                Duration.ofMillis(timeoutMillis),
                maximumAttempts,
                Duration.ofMillis(aimMillis),
                rank,
                true);
    }

    /** Returns a copy of a route whose requests upload bodies. */
    static Route upload(Route route) {
        return new Route(
                route.name(),
                route.host(),
                route.prefix(),
                route.destinations(),
                RequestKind.UPLOAD,
                route.timeout(),
                route.maximumAttempts(),
                route.targetLatency(),
                route.rank(),
                route.keyRequired());
    }

    /** Returns a copy of a route that requires no key. */
    static Route withoutKey(Route route) {
        return new Route(
                route.name(),
                route.host(),
                route.prefix(),
                route.destinations(),
                route.kind(),
                route.timeout(),
                route.maximumAttempts(),
                route.targetLatency(),
                route.rank(),
                false);
    }
}
