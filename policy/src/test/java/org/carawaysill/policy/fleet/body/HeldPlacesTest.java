package org.carawaysill.policy.fleet.body;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.carawaysill.model.fleet.CopyName;
import org.carawaysill.model.identity.AttemptIdentifier;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.model.request.Body;
import org.carawaysill.model.request.RequestContent;
import org.carawaysill.policy.fleet.copy.LocalRun;
import org.carawaysill.policy.message.PeerMessage.CopyRequest;
import org.junit.jupiter.api.Test;

class HeldPlacesTest {

    private static final long MILLI = 1_000_000;
    private static final NodeName SENDER = new NodeName("10.0.0.1");

    private final HeldPlaces places = new HeldPlaces();
    private long attempts;

    private LocalRun run(long now, long rootAgeNanos, long remainingNanos) {
        CopyRequest request = new CopyRequest(
                new AttemptIdentifier(0, ++attempts),
                "request-" + attempts,
                new ServiceName("media"),
                new CopyName("copy"),
                new ServiceName("entry"),
                Optional.empty(),
                "root",
                1,
                false,
                0,
                rootAgeNanos,
                remainingNanos,
                true,
                OptionalDouble.empty(),
                "route",
                SENDER,
                true,
                new RequestContent("POST", "/upload/", List.of(), Body.EMPTY));
        return new LocalRun(request, Optional.of(SENDER), now);
    }

    // Guards against a slot that is held for longer than its bound, or lapses before, in any order of events.
    @Property(tries = 200, seed = "7")
    void eachPlaceEndsAtItsTime(@ForAll List<@IntRange(min = 0, max = 999) Integer> events) {
        Map<LocalRun, Long> ends = new HashMap<>();
        long now = 0;
        for (int event : events) {
            now += event % 50 * MILLI;
            if (event % 3 == 0 && !ends.isEmpty()) {
                LocalRun released = ends.keySet().iterator().next();
                places.release(released);
                ends.remove(released);
            } else {
                LocalRun run = run(now, 0, event * MILLI);
                places.grant(now, run, run.deadlineNanos());
                ends.put(run, Math.min(now + HeldPlaces.LIMIT.toNanos(), run.deadlineNanos()));
            }
            for (LocalRun lapsed : places.lapsed(now)) {
                assertTrue(ends.remove(lapsed) <= now);
                places.release(lapsed);
            }
            long current = now;
            assertFalse(ends.values().stream().anyMatch(end -> end <= current));
            assertEquals(ends.values().stream().mapToLong(end -> end).min().orElse(Long.MAX_VALUE), places.nextNanos());
            assertEquals(ends.keySet(), Set.copyOf(places.all()));
        }
        places.all().forEach(places::release);
    }

    // Guards against a deadline or an age that starts again when the body arrives.
    @Test
    void aRequestKeepsItsDeadlineAndAgeWhenItsBodyArrives() {
        LocalRun run = run(100 * MILLI, 30 * MILLI, 200 * MILLI);
        CopyRequest whole = HeldPlaces.whole(140 * MILLI, run, Body.ofText("body"));
        assertEquals(160 * MILLI, whole.remainingNanos());
        assertEquals(70 * MILLI, whole.rootAgeNanos());
        assertEquals(Body.ofText("body"), whole.content().body());
        assertFalse(whole.bodyFollows());
    }
}
