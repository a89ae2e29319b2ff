package org.carawaysill.policy.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.stream.IntStream;
import org.carawaysill.model.fleet.CopyName;
import org.carawaysill.model.fleet.Route;
import org.carawaysill.model.identity.AttemptIdentifier;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.model.request.Body;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.model.request.RefusalReason;
import org.carawaysill.model.request.RequestContent;
import org.carawaysill.model.request.UnwrittenAnswers;
import org.carawaysill.policy.fleet.VirtualFleet.VirtualNode;
import org.carawaysill.policy.message.PeerMessage;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class PlannedStopTest {

    private static final long MILLI = VirtualFleet.MILLI;
    private static final long SECOND = 1000 * MILLI;
    private static final Duration LIMIT = VirtualFleet.STOP_LIMIT;

    private final VirtualFleet fleet = new VirtualFleet(11);

    private static Route route(String path, String service, long timeoutMillis) {
        return Routes.route(path, service, false, 1, timeoutMillis, 500);
    }

    private VirtualNode node(String service, String host) {
        VirtualNode node = fleet.add(service, host, "zone-1", 4);
        node.works.put('/' + service + '/', new Work(10 * MILLI, List.of()));
        return node;
    }

    @Nested
    class Time {

        /*
         * Guards against a process that is killed while it closes its connections. A node is ordered to stop while its
         * copy runs a request that takes longer than the stop may take, and no other event occurs. The node noticed the
         * end of its time only at its next report, up to 0.4 s late, had 0.3 s left to close its connections, and was
         * sometimes killed meanwhile.
         */
        @ParameterizedTest
        @ValueSource(longs = {0, 90, 180, 270, 360})
        void isLeftToCloseWhereOneLongRequestIsLeft(long offsetMillis) {
            long ordered = 4 * SECOND + offsetMillis * MILLI;
            VirtualNode node = orderedWithALongRequest(ordered);
            fleet.runUntil(ordered + LIMIT.toNanos() - 690 * MILLI);
            assertTrue(node.stopped, "0.7 s are left");
        }

        /*
         * Guards against a process that is killed at the end of its time without a log line that says what it waited
         * for. It writes one a second before that; a stop that is complete by then writes none.
         */
        @Test
        void thatRunsOutIsLoggedWithThePendingWork() {
            VirtualNode node = orderedWithALongRequest(4 * SECOND);
            fleet.runUntil(4 * SECOND + LIMIT.toNanos() - 1010 * MILLI);
            assertFalse(late(node).isPresent());
            fleet.runUntil(4 * SECOND + LIMIT.toNanos() - 990 * MILLI);
            assertEquals(Optional.of("state=stop_late requests=1 sent=1 at_copy=1 running=1 took_ms=5000"), late(node));
        }

        private VirtualNode orderedWithALongRequest(long ordered) {
            fleet.configure(route("/front/", "front", 30_000));
            VirtualNode node = node("front", "10.1.1.1");
            fleet.runUntil(3 * SECOND);
            node.silent = true;
            fleet.send(node, "long", "/front/", 30 * SECOND, (_, _) -> {});
            fleet.runUntil(ordered);
            node.deliver(new FleetEvent.StopRequested());
            return node;
        }

        private static Optional<String> late(VirtualNode node) {
            return node.log.stream()
                    .map(Decision::fields)
                    .filter(fields -> fields.startsWith("state=stop_late"))
                    .findFirst();
        }
    }

    @Nested
    class UnwrittenAnswersOfConnections {

        private static final long ORDERED = 4 * SECOND;
        private static final UnwrittenAnswers SOME = new UnwrittenAnswers(1, 86, 3_096_000);

        private VirtualNode node;

        private void order(UnwrittenAnswers toClients, UnwrittenAnswers toNodes) {
            fleet.configure(route("/front/", "front", 900));
            node = node("front", "10.1.1.1");
            fleet.runUntil(ORDERED);
            node.unreadByClients = toClients;
            node.unreadByNodes = toNodes;
            node.deliver(new FleetEvent.StopRequested());
        }

        private void assertEndsOnceWritten() {
            fleet.runUntil(ORDERED + 4500 * MILLI);
            assertFalse(node.stopped);
            node.unreadByClients = UnwrittenAnswers.NONE;
            node.unreadByNodes = UnwrittenAnswers.NONE;
            fleet.runUntil(ORDERED + 4550 * MILLI);
            assertTrue(node.stopped);
        }

        /** Guards against answers of requests that ran, which are cut while their clients still read them. */
        @Test
        void toClientsHoldTheStopUpUntilTheyAreWritten() {
            order(SOME, UnwrittenAnswers.NONE);
            assertEndsOnceWritten();
        }

        /** Guards against an answer that the link has accepted, which is cut before the other node has read it. */
        @Test
        void toOtherNodesHoldTheStopUpUntilTheyAreWritten() {
            order(UnwrittenAnswers.NONE, SOME);
            assertEndsOnceWritten();
        }

        /** Guards against a client that reads nothing and holds up a stop until the process is killed. */
        @Test
        void areGivenUpAndLoggedWhenTheTimeIsOver() {
            order(SOME, UnwrittenAnswers.NONE);
            fleet.runUntil(ORDERED + LIMIT.toNanos() - 690 * MILLI);
            assertTrue(node.stopped);
            assertEquals(
                    List.of(
                            "state=stop_late requests=0 sent=0 at_copy=0 running=0 unread_by_clients=1"
                                    + " client_answers=86 client_bytes=3096000 took_ms=5000",
                            "state=stopped requests=0 sent=0 at_copy=0 running=0 unread_by_clients=1"
                                    + " client_answers=86 client_bytes=3096000 took_ms=5300"),
                    node.log.stream()
                            .map(Decision::fields)
                            .filter(fields ->
                                    fields.startsWith("state=stop_late") || fields.startsWith("state=stopped"))
                            .toList());
        }

        /** Guards against an answer that is handed over in the moment in which the last check found none. */
        @Test
        void ofTheLastRequestAreCheckedAfterItsEnd() {
            fleet.configure(route("/front/", "front", 5000));
            node = node("front", "10.1.1.1");
            node.works.put("/front/", new Work(300 * MILLI, List.of()));
            fleet.runUntil(ORDERED);
            node.deliver(new FleetEvent.StopRequested());
            fleet.runUntil(ORDERED + 2490 * MILLI);
            fleet.send(node, "last", "/front/", 5 * SECOND, (_, _) -> node.unreadByClients = SOME);
            fleet.runUntil(ORDERED + 4 * SECOND);
            assertFalse(node.stopped);
        }

        @Test
        void doNotDelayAStopWithoutThem() {
            order(UnwrittenAnswers.NONE, UnwrittenAnswers.NONE);
            fleet.runUntil(ORDERED + 2499 * MILLI);
            assertFalse(node.stopped);
            fleet.runUntil(ORDERED + 2500 * MILLI);
            assertTrue(node.stopped);
        }
    }

    @Nested
    class Clients {

        private static final long ORDERED = 4 * SECOND;
        private static final long WORK = 50 * MILLI;

        private final Map<String, Outcome> outcomes = new HashMap<>();
        private Optional<List<String>> openAtTheEnd = Optional.empty();

        private void send(VirtualNode node, String name) {
            if (!node.stopped) {
                fleet.send(node, name, "/front/", SECOND, (_, outcome) -> outcomes.put(name, outcome));
            }
        }

        private void noteWhatIsOpen(VirtualNode node, int sent) {
            if (node.stopped && openAtTheEnd.isEmpty()) {
                openAtTheEnd = Optional.of(IntStream.range(0, sent)
                        .mapToObj(i -> "r" + i)
                        .filter(name -> !outcomes.containsKey(name))
                        .toList());
            }
        }

        /*
         * Guards against clients that keep sending to a stopping node, whatever its readiness. It accepted their
         * requests until the end of its time and ended while its copy ran some: eight clients had eight requests
         * without an answer that had run. Once clients should have left, they are refused at once, and requests
         * accepted before are answered.
         */
        @ParameterizedTest
        @ValueSource(ints = {3, 6, 10})
        void thatNeverLeaveGetAnAnswerToEachRequest(int limitSeconds) {
            fleet.configure(route("/front/", "front", 900), route("/back/", "back", 900));
            VirtualNode node = node("front", "10.1.1.1");
            node.works.put("/front/", new Work(WORK, List.of("/back/")));
            node("back", "10.1.2.1");
            fleet.at(ORDERED, () -> {
                node.stopWithin(Duration.ofSeconds(limitSeconds));
                node.deliver(new FleetEvent.StopRequested());
            });
            for (int i = 0; i < 440; i++) {
                String name = "r" + i;
                int sent = i;
                fleet.at(3 * SECOND + i * 25 * MILLI, () -> {
                    noteWhatIsOpen(node, sent);
                    send(node, name);
                });
            }
            fleet.runUntil(ORDERED + limitSeconds * SECOND);
            assertEquals(Optional.of(List.of()), openAtTheEnd);
            for (Map.Entry<String, Outcome> entry : outcomes.entrySet()) {
                boolean refused =
                        entry.getValue() instanceof Outcome.NotRun notRun && notRun.reason() == RefusalReason.DRAINING;
                assertTrue(refused || Outcomes.isGood(entry.getValue()), entry.toString());
            }
        }
    }

    @Nested
    class AfterItsEnd {

        /** A node without requests stops 2.5 s after its order. */
        private static final long STOPPED = 3 * SECOND + 2600 * MILLI;

        private VirtualNode stopping;
        private VirtualNode other;

        private void stopTheOnlyCopyOfBack() {
            fleet.configure(route("/front/", "front", 900), route("/back/", "back", 900));
            other = node("front", "10.1.1.1");
            stopping = node("back", "10.1.2.1");
            fleet.runUntil(3 * SECOND);
            stopping.deliver(new FleetEvent.StopRequested());
            fleet.runUntil(STOPPED);
            assertTrue(stopping.stopped);
        }

        /*
         * Guards against a request on an open connection just after a stopping node has nothing left to do. It was sent
         * to the copy, and the process ended within 0.1 s: the client got no answer, and the work of the copy was
         * wasted. It must be refused at once, without being run.
         */
        @Test
        void clientsAreRefusedAtOnce() {
            stopTheOnlyCopyOfBack();
            List<Outcome> outcomes = new ArrayList<>();
            fleet.send(stopping, "late", "/back/", SECOND, (_, outcome) -> outcomes.add(outcome));
            fleet.runUntil(STOPPED + 2 * MILLI);
            assertEquals(1, outcomes.size());
            assertTrue(
                    outcomes.getFirst() instanceof Outcome.NotRun notRun && notRun.reason() == RefusalReason.DRAINING,
                    outcomes.toString());
            assertEquals(0, fleet.runs.size());
        }

        /*
         * The same for a request of another node that does not know of the stop because the notice was lost: the copy
         * must not get it, so that the other node may try another copy.
         */
        @Test
        void requestsOfOtherNodesAreNotSentToTheCopy() {
            stopTheOnlyCopyOfBack();
            PeerMessage.CopyRequest late = new PeerMessage.CopyRequest(
                    new AttemptIdentifier(0, 1),
                    "late",
                    new ServiceName("back"),
                    new CopyName(stopping.copy()),
                    new ServiceName("front"),
                    Optional.empty(),
                    "/back/",
                    1,
                    false,
                    0,
                    0,
                    SECOND,
                    false,
                    OptionalDouble.empty(),
                    "route",
                    new NodeName("10.0.0.1"),
                    false,
                    new RequestContent("GET", "/back/", List.of(), Body.EMPTY));
            stopping.deliver(new FleetEvent.PeerReceived(other.name, late));
            fleet.runUntil(8 * SECOND);
            assertEquals(0, fleet.runs.size());
        }
    }

    @Nested
    class RequestsOfOtherNodes {

        private static final long SENT = 3 * SECOND;
        private static final long ORDERED = 3500 * MILLI;
        private static final int REQUESTS = 40;

        private final Map<String, Outcome> outcomes = new HashMap<>();

        private VirtualNode slowCopy(String host, long workMillis) {
            VirtualNode node = node("back", host);
            node.works.put("/back/", new Work(workMillis * MILLI, List.of()));
            return node;
        }

        /** Sends more requests than two slow copies can run, and stops the node beside one of them. */
        private void stopBesideAFullCopy(long workMillis) {
            fleet.configure(route("/front/", "front", 900), route("/back/", "back", 30_000));
            VirtualNode entry = node("front", "10.1.1.1");
            VirtualNode stopping = slowCopy("10.1.2.1", workMillis);
            slowCopy("10.1.2.2", workMillis);
            fleet.runUntil(SENT);
            for (int i = 0; i < REQUESTS; i++) {
                String name = "r" + i;
                fleet.send(entry, name, "/back/", 30 * SECOND, (_, outcome) -> outcomes.put(name, outcome));
            }
            fleet.runUntil(ORDERED);
            stopping.deliver(new FleetEvent.StopRequested());
            fleet.runUntil(ORDERED + LIMIT.toNanos() - 690 * MILLI);
            assertTrue(stopping.stopped);
            stopping.kill();
            fleet.runUntil(SENT + 31 * SECOND);
        }

        private long runs(String name) {
            return fleet.runs.stream()
                    .filter(run -> run.requestName().equals(name))
                    .count();
        }

        /** Guards against requests that wait at a node until its process ends: they seem to have run, and did not. */
        @ParameterizedTest
        @ValueSource(longs = {1000, 1500, 2000, 3000})
        void areNotReportedAsPossiblyRunIfTheyNeverBegan(long workMillis) {
            stopBesideAFullCopy(workMillis);
            assertEquals(REQUESTS, outcomes.size());
            outcomes.forEach((name, outcome) ->
                    assertEquals(outcome instanceof Outcome.NotRun ? 0 : 1, runs(name), name + " " + outcome));
        }

        /** Guards against a request that begins at the copy just before the node's process ends, and is cut. */
        @ParameterizedTest
        @ValueSource(longs = {1000, 1500, 2000})
        void thatBeginAtTheCopyAreAnswered(long workMillis) {
            stopBesideAFullCopy(workMillis);
            outcomes.forEach((name, outcome) ->
                    assertTrue(outcome instanceof Outcome.NotRun || Outcomes.isGood(outcome), name + " " + outcome));
        }

        /** Guards against work that a node which has just started sends to one late in its stop, where it is cut. */
        @Test
        void fromANodeThatHasJustStartedDoNotReachANodeLateInItsStop() {
            fleet.configure(route("/front/", "front", 900), route("/back/", "back", 30_000));
            VirtualNode entry = node("front", "10.1.1.1");
            VirtualNode stopping = node("back", "10.1.2.1");
            fleet.runUntil(SENT);
            stopping.silent = true;
            fleet.send(entry, "long", "/back/", 30 * SECOND, (_, _) -> {});
            fleet.runUntil(ORDERED);
            stopping.deliver(new FleetEvent.StopRequested());
            fleet.runUntil(ORDERED + 2500 * MILLI);
            entry.kill();
            entry.restart();
            for (int i = 0; i < 100; i++) {
                fleet.runUntil(fleet.now + 10 * MILLI);
                fleet.send(entry, "late" + i, "/back/", 10 * SECOND, (_, _) -> {});
            }
            assertFalse(stopping.stopped);
            assertEquals(1, fleet.runs.size());
        }
    }
}
