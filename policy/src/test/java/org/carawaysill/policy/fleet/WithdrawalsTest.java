package org.carawaysill.policy.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.carawaysill.model.fleet.Route;
import org.carawaysill.model.request.Body;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.model.request.UnknownReason;
import org.carawaysill.policy.fleet.VirtualFleet.VirtualNode;
import org.carawaysill.policy.message.PeerMessage;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A node stops while requests of its clients wait or run at the copies of other nodes. */
class WithdrawalsTest {

    private static final long MILLI = VirtualFleet.MILLI;
    private static final long SECOND = 1000 * MILLI;
    private static final long SETTLED = 4 * SECOND;
    private static final long ORDERED = SETTLED + SECOND;

    /** When the process ends at the latest; it is killed after 6 s. */
    private static final long ENDED = ORDERED + 5320 * MILLI;

    private static final long DEADLINE = 30 * SECOND;
    private static final int SLOTS = 4;
    private static final int WAITING = 10;
    private static final String BUSY = "busy-";
    private static final String WAITS = "waits-";

    private final VirtualFleet fleet = new VirtualFleet(17);
    private final Map<String, Outcome> outcomes = new HashMap<>();
    private final Map<String, Long> answeredAt = new HashMap<>();
    private VirtualNode stopping;
    private VirtualNode other;
    private VirtualNode worker;

    private static Route route(String path, String service) {
        return Routes.route(path, service, false, 1, DEADLINE / MILLI, 500);
    }

    private VirtualNode worker(String host, long workMillis) {
        VirtualNode node = fleet.add("back", host, "zone-1", SLOTS);
        node.works.put("/back/", new Work(workMillis * MILLI, List.of()));
        return node;
    }

    /** Starts two nodes for clients, and one whose copy works on a request for the given time. */
    private void settle(long workMillis) {
        fleet.configure(route("/front/", "front"), route("/back/", "back"));
        stopping = fleet.add("front", "10.1.1.1", "zone-1", SLOTS);
        other = fleet.add("front", "10.1.1.2", "zone-1", SLOTS);
        worker = worker("10.1.2.1", workMillis);
        fleet.runUntil(SETTLED);
    }

    private void send(VirtualNode at, String name) {
        fleet.send(at, name, "/back/", DEADLINE, (when, outcome) -> {
            outcomes.put(name, outcome);
            answeredAt.put(name, when);
        });
    }

    /** Fills the slots of the copy, and lets requests wait behind that; then the node of those that wait stops. */
    private void stopWhileRequestsWait(VirtualNode busyAt) {
        for (int i = 0; i < SLOTS; i++) {
            send(busyAt, BUSY + i);
        }
        fleet.runUntil(fleet.now + 10 * MILLI);
        for (int i = 0; i < WAITING; i++) {
            send(stopping, WAITS + i);
        }
        fleet.runUntil(ORDERED);
        stopping.deliver(new FleetEvent.StopRequested());
    }

    private void runUntilTheEndOfTheStop() {
        fleet.runUntil(ENDED);
        assertTrue(stopping.stopped);
        stopping.kill();
        fleet.runUntil(ENDED + DEADLINE);
    }

    private long runs(String name) {
        return fleet.runs.stream().filter(run -> run.requestName().equals(name)).count();
    }

    private void assertAllAnsweredTruly() {
        for (int i = 0; i < WAITING; i++) {
            Outcome outcome = outcomes.get(WAITS + i);
            assertTrue(outcome != null, WAITS + i + " has no answer");
            assertEquals(outcome instanceof Outcome.NotRun ? 0 : 1, runs(WAITS + i), WAITS + i + " " + outcome);
        }
    }

    private void assertStopLine(String part) {
        assertTrue(
                stopping.log.stream()
                        .map(Decision::fields)
                        .anyMatch(fields -> fields.startsWith("state=stopped") && fields.contains(part)),
                () -> stopping.log.toString());
    }

    @Nested
    class WaitingRequests {

        /** Guards against requests that wait at another node until the process ends, and get no answer. */
        @ParameterizedTest
        @ValueSource(longs = {1500, 2500, 8000, 20_000})
        void areAnsweredAndTruly(long workMillis) {
            settle(workMillis);
            stopWhileRequestsWait(other);
            runUntilTheEndOfTheStop();
            assertAllAnsweredTruly();
        }

        @Test
        void areRefusedBeforeTheProcessEndsAndCounted() {
            settle(20_000);
            stopWhileRequestsWait(other);
            runUntilTheEndOfTheStop();
            for (int i = 0; i < WAITING; i++) {
                assertInstanceOf(Outcome.NotRun.class, outcomes.get(WAITS + i));
                assertTrue(answeredAt.get(WAITS + i) < ENDED - 200 * MILLI);
            }
            assertStopLine(" asked_back=10 not_run=10");
        }

        /** Guards against requests that are taken back though a slot comes free in time for them. */
        @Test
        void runIfASlotComesFreeInTime() {
            settle(1000);
            stopWhileRequestsWait(other);
            runUntilTheEndOfTheStop();
            assertTrue(
                    outcomes.entrySet().stream()
                            .filter(entry -> entry.getKey().startsWith(WAITS))
                            .allMatch(entry -> Outcomes.isGood(entry.getValue())),
                    outcomes.toString());
        }

        /** Guards against a withdrawal that finds no room on its connection and is forgotten. */
        @Test
        void areAskedForAgainIfTheMessageIsLost() {
            settle(20_000);
            int[] lost = {WAITING / 2};
            fleet.vanishing = message -> message instanceof PeerMessage.WithdrawAttempt && lost[0]-- > 0;
            stopWhileRequestsWait(other);
            runUntilTheEndOfTheStop();
            assertStopLine(" asked_back=10 not_run=10");
        }

        /** Guards against a refusal as not run without the word of the node that has the request. */
        @Test
        void areNotRefusedWithoutTheOtherNodesWord() {
            settle(20_000);
            fleet.vanishing = message -> message instanceof PeerMessage.WithdrawAttempt;
            stopWhileRequestsWait(other);
            runUntilTheEndOfTheStop();
            for (int i = 0; i < WAITING; i++) {
                Outcome.Unknown unknown = assertInstanceOf(Outcome.Unknown.class, outcomes.get(WAITS + i));
                assertEquals(UnknownReason.NODE_STOPS, unknown.reason());
            }
            assertStopLine(" asked_back=10 not_run=0 given_up=10");
        }

        /** Guards against messages to a node of an earlier version, which would end the connection to it. */
        @Test
        void areNotAskedForAtNodesThatDoNotSayThatTheyAnswer() {
            fleet.vanishing = message -> message instanceof PeerMessage.NodeReport report
                    && report.service().value().equals("back");
            settle(20_000);
            stopWhileRequestsWait(other);
            runUntilTheEndOfTheStop();
            assertStopLine(" running=0 given_up=10");
        }

        /** Guards against requests that are lost because both nodes stop at the same time. */
        @Test
        void areAnsweredIfTheOtherNodeStopsToo() {
            settle(20_000);
            stopWhileRequestsWait(other);
            worker.deliver(new FleetEvent.StopRequested());
            runUntilTheEndOfTheStop();
            assertAllAnsweredTruly();
        }

        /** Guards against a link that is lost for the rest of the stop, whose requests get no answer. */
        @Test
        void areAnsweredIfTheLinkIsLost() {
            settle(20_000);
            stopWhileRequestsWait(other);
            fleet.runUntil(ORDERED + SECOND);
            fleet.cutLink(stopping, worker, ENDED + SECOND);
            runUntilTheEndOfTheStop();
            for (int i = 0; i < WAITING; i++) {
                assertTrue(outcomes.containsKey(WAITS + i), WAITS + i);
            }
        }

        /** Guards against large bodies that wait for a place at another node when the process ends. */
        @Test
        void areRefusedIfTheirBodiesWereNotSent() {
            fleet.bodies.put("/back/", Body.wrap(new byte[60_000]));
            settle(20_000);
            fleet.configure(route("/front/", "front"), Routes.upload(route("/back/", "back")));
            fleet.runUntil(SETTLED + 500 * MILLI);
            stopWhileRequestsWait(other);
            runUntilTheEndOfTheStop();
            for (int i = 0; i < WAITING; i++) {
                assertInstanceOf(Outcome.NotRun.class, outcomes.get(WAITS + i), WAITS + i);
                assertEquals(0, runs(WAITS + i));
            }
        }
    }

    @Nested
    class RunningRequests {

        /** Returns the requests at which the copy is at work when the stop is ordered. */
        private List<String> atWork() {
            List<String> names =
                    fleet.runs.stream().map(VirtualFleet.Run::requestName).toList();
            assertTrue(!names.isEmpty());
            return names;
        }

        /** Guards against a withdrawal that ends a request at which a copy is at work. */
        @Test
        void goOnAndAreAnswered() {
            settle(4000);
            stopWhileRequestsWait(stopping);
            List<String> atWork = atWork();
            runUntilTheEndOfTheStop();
            atWork.forEach(name -> assertTrue(Outcomes.isGood(outcomes.get(name)), name + " " + outcomes.get(name)));
            assertAllAnsweredTruly();
        }

        /** Guards against requests that run beyond the end of the process and get no answer. */
        @Test
        void areAnsweredAsPossiblyRunAtTheEndAndNotCancelled() {
            settle(20_000);
            stopWhileRequestsWait(stopping);
            List<String> atWork = atWork();
            runUntilTheEndOfTheStop();
            for (String name : atWork) {
                Outcome.Unknown unknown = assertInstanceOf(Outcome.Unknown.class, outcomes.get(name));
                assertEquals(UnknownReason.NODE_STOPS, unknown.reason());
                assertTrue(answeredAt.get(name) > ORDERED + 5 * SECOND);
            }
            assertEquals(0, fleet.sentCount(PeerMessage.CancelAttempt.class));
        }

        /** Guards against a request at the node's own copy that runs beyond the end and gets no answer. */
        @Test
        void atTheOwnCopyAreAnsweredAtTheEnd() {
            settle(10);
            stopping.works.put("/front/", new Work(20 * SECOND, List.of()));
            fleet.send(stopping, "own", "/front/", DEADLINE, (_, outcome) -> outcomes.put("own", outcome));
            fleet.runUntil(ORDERED);
            stopping.deliver(new FleetEvent.StopRequested());
            runUntilTheEndOfTheStop();
            assertInstanceOf(Outcome.Unknown.class, outcomes.get("own"));
        }
    }

    @Nested
    class OtherCopies {

        /** Guards against refusing requests that another copy could still run in time. */
        @Test
        void runWhatIsTakenBackIfTheyHaveRoomInTime() {
            settle(2000);
            stopWhileRequestsWait(other);
            fleet.runUntil(ORDERED + 500 * MILLI);
            VirtualNode fast = worker("10.1.2.2", 5);
            fleet.runUntil(ORDERED + 5 * SECOND);
            assertTrue(fleet.runs.stream().anyMatch(run -> run.requestName().startsWith(WAITS)), fast.copy());
            runUntilTheEndOfTheStop();
            assertAllAnsweredTruly();
        }
    }

    /** Guards against a stop that takes longer for having nothing to take back. */
    @Test
    void aNodeWithoutRequestsElsewhereEndsAsEarlyAsBefore() {
        settle(10);
        fleet.runUntil(ORDERED);
        stopping.deliver(new FleetEvent.StopRequested());
        fleet.runUntil(ORDERED + 2600 * MILLI);
        assertTrue(stopping.stopped);
    }
}
