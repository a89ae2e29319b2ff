package org.carawaysill.policy.fleet.body;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.carawaysill.model.fleet.Destination;
import org.carawaysill.model.fleet.RequestKind;
import org.carawaysill.model.fleet.Route;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.model.request.Body;
import org.carawaysill.policy.fleet.mechanism.Mechanism;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class RequestBytesTest {

    private final LargeBodies largeBodies = new LargeBodies(Set.of());
    private final RequestBytes bytes = new RequestBytes(largeBodies);

    private static Route route(RequestKind kind) {
        return new Route(
                "route",
                "fleet.example",
                "/path/",
                List.of(new Destination(new ServiceName("media"), 1)),
                kind,
                Duration.ofSeconds(1),
                2,
                Duration.ofMillis(500),
                1,
                true);
    }

    private static Body body(int length) {
        return Body.wrap(new byte[length]);
    }

    // Guards against an upload that goes wherever its small answer does not matter.
    @Test
    void addsTheBodyOfAnUploadToItsUsualAnswer() {
        bytes.answered("route", 400);
        assertEquals(6400, bytes.of(route(RequestKind.UPLOAD), body(6000)));
    }

    // Guards against a body so large that no wait at a near copy sends it to a free one elsewhere.
    @Test
    void boundsTheWeightOfABody() {
        int length = 10 * RequestBytes.MAXIMUM_BODY_BYTES;
        assertEquals(RequestBytes.MAXIMUM_BODY_BYTES, bytes.of(route(RequestKind.UPLOAD), body(length)));
    }

    // Guards against changed decisions where no route uploads.
    @ParameterizedTest
    @EnumSource(names = "UPLOAD", mode = EnumSource.Mode.EXCLUDE)
    void countsOnlyTheAnswersOfOtherKinds(RequestKind kind) {
        bytes.answered("route", 400);
        assertEquals(400, bytes.of(route(kind), body(60_000)));
        assertFalse(largeBodies.follows(route(kind), body(60_000)));
    }

    // Guards against a switch that leaves part of the mechanism on.
    @Test
    void countsOnlyAnswersWithoutTheMechanism() {
        LargeBodies disabled = new LargeBodies(Set.of(Mechanism.BODY_PLACES));
        assertEquals(0, new RequestBytes(disabled).of(route(RequestKind.UPLOAD), body(60_000)));
        assertFalse(disabled.follows(route(RequestKind.UPLOAD), body(60_000)));
    }

    // Guards against a round trip for bodies that cost less than one.
    @Test
    void onlyLargeBodiesFollowTheirRequests() {
        assertTrue(largeBodies.follows(route(RequestKind.UPLOAD), body(LargeBodies.LARGE_BYTES)));
        assertFalse(largeBodies.follows(route(RequestKind.UPLOAD), body(LargeBodies.LARGE_BYTES - 1)));
    }

    // Guards against a table that grows with each route that was ever published.
    @Test
    void forgetsRoutesThatAreNoLongerPublished() {
        bytes.answered("route", 400);
        bytes.retain(Set.of("other"));
        assertEquals(0, bytes.of(route(RequestKind.READ), Body.EMPTY));
    }
}
