package org.carawaysill.policy.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.carawaysill.model.fleet.Route;
import org.carawaysill.model.request.Body;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.policy.fleet.VirtualFleet.VirtualNode;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Requests that wait for a slow copy with one slot when the copy's entry is removed. */
class RemovedCopyTest {

    private static final long MILLI = VirtualFleet.MILLI;
    private static final long SECOND = 1000 * MILLI;
    private static final long SENT = 4 * SECOND;
    private static final long REMOVED = SENT + SECOND;
    private static final long TIMEOUT = 12 * SECOND;
    private static final long WORK = 500 * MILLI;

    /** A removal is known everywhere within this time where the platform is undisturbed. */
    private static final long KNOWN = 200 * MILLI;

    private static final int REQUESTS = 8;
    private static final String PATH = "/back/";

    private final VirtualFleet fleet = new VirtualFleet(54);
    private final Map<String, Outcome> outcomes = new HashMap<>();
    private VirtualNode entry;
    private VirtualNode leaving;

    /** The ways in which a copy can be known to leave. */
    private enum Sign {
        REMOVED(VirtualNode::unpublish),
        DRAINING(node -> node.publish(true));

        private final Consumer<VirtualNode> given;

        Sign(Consumer<VirtualNode> given) {
            this.given = given;
        }
    }

    private static Route route() {
        return Routes.route(PATH, "back", false, 1, TIMEOUT / MILLI, 500);
    }

    private VirtualNode back(String host, int slots) {
        VirtualNode node = fleet.add("back", host, "zone-1", slots);
        node.works.put(PATH, new Work(WORK, List.of()));
        return node;
    }

    /** Sends requests to the only copy, which runs one at a time, and then adds another copy. */
    private void queue(Route route) {
        fleet.configure(route, Routes.route("/front/", "front", false, 1, TIMEOUT / MILLI, 500));
        entry = fleet.add("front", "10.1.1.1", "zone-1", 4);
        leaving = back("10.1.2.1", 1);
        fleet.runUntil(SENT);
        send(entry);
    }

    private void send(VirtualNode at) {
        for (int i = 0; i < REQUESTS; i++) {
            String name = at.name + "-" + i;
            fleet.send(at, name, PATH, TIMEOUT, (_, outcome) -> outcomes.put(name, outcome));
        }
    }

    private void addOtherCopy() {
        back("10.1.2.2", 4);
        fleet.runUntil(REMOVED);
    }

    private long runsAtLeaving(long after) {
        return fleet.runs.stream()
                .filter(run -> run.copy().equals(leaving.copy()) && run.at() > after)
                .count();
    }

    private void assertAllServedOnce() {
        fleet.runUntil(SENT + TIMEOUT);
        assertTrue(outcomes.values().stream().allMatch(Outcomes::isGood), outcomes.toString());
        assertEquals(
                outcomes.size(),
                fleet.runs.stream()
                        .map(VirtualFleet.Run::requestName)
                        .distinct()
                        .count());
        assertEquals(outcomes.size(), fleet.runs.size());
    }

    private List<String> changesOfLeaving() {
        return leaving.log.stream()
                .filter(Decision.LocalCopyChanged.class::isInstance)
                .map(Decision::fields)
                .toList();
    }

    @Nested
    class Waiting {

        /** Guards against requests that wait for a copy whose entry is gone, and are cut by its end. */
        @ParameterizedTest
        @EnumSource(Sign.class)
        void runAtAnotherCopy(Sign sign) {
            queue(route());
            addOtherCopy();
            sign.given.accept(leaving);
            fleet.runUntil(REMOVED + 9 * SECOND);
            assertEquals(0, runsAtLeaving(REMOVED + KNOWN));
            assertEquals(REQUESTS, outcomes.size());
            assertAllServedOnce();
            assertEquals(List.of("sign=" + sign + " queued=5 in_flight=1"), changesOfLeaving());
        }

        /** Guards against the same for requests of the clients of the node beside the copy. */
        @Test
        void ofTheNodeItselfRunAtAnotherCopy() {
            queue(route());
            send(leaving);
            addOtherCopy();
            leaving.unpublish();
            fleet.runUntil(REMOVED + 9 * SECOND);
            assertEquals(0, runsAtLeaving(REMOVED + KNOWN));
            assertEquals(2 * REQUESTS, outcomes.size());
            assertAllServedOnce();
        }

        /** Guards against an upload whose body is sent to a copy that is gone, since its slot is kept. */
        @Test
        void forTheirBodiesRunAtAnotherCopy() {
            fleet.bodies.put(PATH, Body.wrap(new byte[60_000]));
            queue(Routes.upload(route()));
            addOtherCopy();
            leaving.unpublish();
            fleet.runUntil(REMOVED + 9 * SECOND);
            assertEquals(0, runsAtLeaving(REMOVED + KNOWN));
            assertAllServedOnce();
        }

        /** Guards against requests that wait in vain until their deadline when all copies leave. */
        @Test
        void areRefusedAtOnceWhereNoCopyIsLeft() {
            queue(route());
            fleet.runUntil(REMOVED);
            leaving.unpublish();
            fleet.runUntil(REMOVED + KNOWN);
            assertEquals(REQUESTS - 1, outcomes.size());
            fleet.runUntil(SENT + TIMEOUT);
            outcomes.forEach((name, outcome) -> assertEquals(
                    outcome instanceof Outcome.NotRun ? 0 : 1,
                    fleet.runs.stream()
                            .filter(run -> run.requestName().equals(name))
                            .count(),
                    name + " " + outcome));
        }

        /** Guards against a node that forgets a removal while the platform is away. */
        @Test
        void doNotBeginWhileThePlatformIsAway() {
            queue(route());
            addOtherCopy();
            leaving.unpublish();
            fleet.at(REMOVED + KNOWN, () -> fleet.platformDown = true);
            fleet.runUntil(REMOVED + 9 * SECOND);
            assertEquals(0, runsAtLeaving(REMOVED + KNOWN));
            assertAllServedOnce();
        }

        /** Guards against work that is turned away from a copy whose entry lapsed while the platform was away. */
        @Test
        void goOnAtACopyThatIsBackSoonAfterThePlatform() {
            queue(route());
            fleet.runUntil(REMOVED);
            fleet.platformDown = true;
            leaving.unpublish();
            fleet.at(REMOVED + SECOND, () -> fleet.platformDown = false);
            fleet.at(REMOVED + 2 * SECOND, () -> leaving.publish(false));
            fleet.runUntil(SENT + TIMEOUT);
            assertEquals(List.of(), changesOfLeaving());
            assertEquals(REQUESTS, outcomes.size());
            assertAllServedOnce();
        }
    }

    @Nested
    class MissingAfterAnOutage {

        private static final long BACK = REMOVED + SECOND;

        /** The time in which an entry may reappear after the platform's return, and some for the news of it. */
        private static final long REAPPEARS = 2500 * MILLI + 2 * KNOWN;

        /** Guards against a copy that is waited for in vain and gets work, since no news comes when its time is over. */
        @Test
        void runAtAnotherCopyOnceItsTimeIsOver() {
            removeDuringAnOutage();
            assertEquals(0, runsAtLeaving(BACK + REAPPEARS));
            assertEquals(2 * REQUESTS, outcomes.size());
            assertAllServedOnce();
        }

        /** Guards against a process that continues after a pause and starts a request before it looks at the time. */
        @ParameterizedTest
        @ValueSource(longs = {0, 50, 100, 150, 200, 250, 300, 350, 400, 450})
        void runAtAnotherCopyAfterAPauseOfTheNode(long offsetMillis) {
            long paused = BACK + 1900 * MILLI + offsetMillis * MILLI;
            fleet.at(paused, () -> leaving.pause(paused + 1000 * MILLI));
            removeDuringAnOutage();
            assertEquals(0, runsAtLeaving(BACK + REAPPEARS));
            assertAllServedOnce();
        }

        private void removeDuringAnOutage() {
            queue(route());
            send(leaving);
            addOtherCopy();
            fleet.platformDown = true;
            leaving.unpublish();
            fleet.at(BACK, () -> fleet.platformDown = false);
            fleet.runUntil(REMOVED + 9 * SECOND);
        }
    }

    @Nested
    class PublishedAgain {

        /** Guards against a copy that gets no more work after its entry was gone for a moment. */
        @Test
        void takesRequestsAgain() {
            queue(route());
            addOtherCopy();
            leaving.unpublish();
            fleet.runUntil(REMOVED + SECOND);
            leaving.publish(false);
            fleet.runUntil(REMOVED + 3 * SECOND);
            assertEquals(
                    List.of("sign=REMOVED queued=5 in_flight=1", "sign=NONE queued=0 in_flight=0"), changesOfLeaving());
            send(leaving);
            fleet.runUntil(REMOVED + 4 * SECOND);
            assertTrue(runsAtLeaving(REMOVED + 3 * SECOND) > 0);
        }
    }

    @Nested
    class Unconfigured {

        /** Guards against accepted requests that are turned away because a configuration no longer names their service. */
        @Test
        void goesOnWithWhatWaits() {
            queue(route());
            fleet.runUntil(REMOVED);
            fleet.configure(Routes.route("/front/", "front", false, 1, TIMEOUT / MILLI, 500));
            fleet.runUntil(SENT + TIMEOUT);
            assertEquals(REQUESTS, outcomes.size());
            assertAllServedOnce();
        }
    }
}
