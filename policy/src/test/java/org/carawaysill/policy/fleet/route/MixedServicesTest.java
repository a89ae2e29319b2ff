package org.carawaysill.policy.fleet.route;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import org.carawaysill.model.fleet.Destination;
import org.carawaysill.model.fleet.RequestKind;
import org.carawaysill.model.fleet.Route;
import org.carawaysill.model.identity.ServiceName;
import org.junit.jupiter.api.Test;

class MixedServicesTest {

    private static final ServiceName FIRST = new ServiceName("first");
    private static final ServiceName SECOND = new ServiceName("second");

    private static Route route(String path, long timeoutMillis, Destination... destinations) {
        return new Route(
                path,
                "fleet.example",
                path,
                List.of(destinations),
                RequestKind.READ,
                Duration.ofMillis(timeoutMillis),
                2,
                Duration.ofMillis(100),
                0,
                true);
    }

    @Test
    void haveTimeoutsThatDifferByAFactorOfFour() {
        MixedServices mixed = MixedServices.of(List.of(
                route("/short/", 700, new Destination(FIRST, 1), new Destination(SECOND, 1)),
                route("/long/", 2800, new Destination(FIRST, 1)),
                route("/medium/", 2799, new Destination(SECOND, 1))));
        assertTrue(mixed.contains(FIRST));
        assertFalse(mixed.contains(SECOND));
    }

    /* Guards against a route without a timeout that makes each service of an earlier deployment a mixed one. */
    @Test
    void ignoreRoutesWithoutATimeout() {
        MixedServices mixed = MixedServices.of(List.of(
                route("/none/", 0, new Destination(FIRST, 1)), route("/long/", 9000, new Destination(FIRST, 1))));
        assertFalse(mixed.contains(FIRST));
    }

    @Test
    void areNoneWithoutRoutes() {
        assertFalse(MixedServices.NONE.contains(FIRST));
    }
}
