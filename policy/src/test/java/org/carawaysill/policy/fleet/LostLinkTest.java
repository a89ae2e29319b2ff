package org.carawaysill.policy.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.SplittableRandom;
import org.carawaysill.model.fleet.CopyName;
import org.carawaysill.model.identity.AttemptIdentifier;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.model.request.AnswerContent;
import org.carawaysill.model.request.Body;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.model.request.RefusalReason;
import org.carawaysill.model.request.RequestContent;
import org.carawaysill.model.request.Step;
import org.carawaysill.model.request.UnknownReason;
import org.carawaysill.policy.fleet.VirtualFleet.VirtualNode;
import org.carawaysill.policy.message.PeerMessage.CancelAttempt;
import org.carawaysill.policy.message.PeerMessage.CopyAnswer;
import org.carawaysill.policy.message.PeerMessage.CopyRequest;
import org.carawaysill.policy.message.PeerMessage.LoadReport;
import org.carawaysill.policy.time.Moment;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** A connection between two nodes ends while requests on it are not answered. */
class LostLinkTest {

    private static final long MILLI = VirtualFleet.MILLI;
    private static final long SECOND = 1000 * MILLI;
    private static final long SETTLED = 4 * SECOND;
    private static final long TIMEOUT = 10 * SECOND;

    /** How long after the loss of a link a request on it may wait for the link. */
    private static final long LINK_BOUND = 2 * SECOND;

    /** A lost link is dialled again after 100 ms, and the connection takes 2 ms. */
    private static final long REDIALLED = 110 * MILLI;

    private static final String ONCE = "/once/";
    private static final String SAFE = "/safe/";

    private final VirtualFleet fleet = new VirtualFleet(5);
    private final Map<String, Outcome> outcomes = new HashMap<>();
    private final Map<String, Long> answeredAt = new HashMap<>();
    private VirtualNode entry;
    private VirtualNode worker;

    private VirtualNode worker(String host, long work) {
        VirtualNode node = fleet.add("back", host, "zone-1", 1);
        node.works.put(ONCE, new Work(work, List.of()));
        node.works.put(SAFE, new Work(work, List.of()));
        return node;
    }

    /** Starts a node for clients and a node whose copy runs one request at a time. */
    private void settled(long work) {
        fleet.configure(
                Routes.route(ONCE, "back", false, 1, TIMEOUT / MILLI, 500),
                Routes.route(SAFE, "back", true, 1, TIMEOUT / MILLI, 500));
        entry = fleet.add("front", "10.1.1.1", "zone-1", 4);
        worker = worker("10.1.2.1", work);
        fleet.runUntil(SETTLED);
    }

    private void send(String name, String path, long timeout) {
        fleet.send(entry, name, path, timeout, (at, outcome) -> {
            outcomes.put(name, outcome);
            answeredAt.put(name, at);
        });
    }

    private void send(String name) {
        send(name, ONCE, TIMEOUT);
    }

    private List<String> runsOf(String name) {
        return fleet.runs.stream()
                .filter(run -> run.requestName().equals(name))
                .map(VirtualFleet.Run::copy)
                .toList();
    }

    private void assertGood(String name) {
        assertTrue(outcomes.containsKey(name) && Outcomes.isGood(outcomes.get(name)), outcomes.toString());
    }

    /** Asserts that a request ended as possibly run, at a time since the last event of the test. */
    private void assertUnknownBy(String name, long latest) {
        assertTrue(
                outcomes.get(name) instanceof Outcome.Unknown unknown && unknown.reason() == UnknownReason.PEER_LOST,
                outcomes.toString());
        assertTrue(answeredAt.get(name) <= latest, answeredAt + " is later than " + latest);
    }

    @Nested
    class AtWork {

        /*
         * Guards against a request that runs to its end and whose client gets a failure: one reset of the link made all
         * requests on it unknown, and the answer of the copy was thrown away.
         */
        @ParameterizedTest
        @ValueSource(longs = {50, 101, 150, 300, 900, 5000})
        void theAnswerIsDeliveredOverTheNextConnection(long workMillis) {
            settled(workMillis * MILLI);
            send("r");
            fleet.runUntil(SETTLED + 20 * MILLI);
            fleet.resetLink(entry, worker);
            fleet.runUntil(SETTLED + 9 * SECOND);
            assertGood("r");
            assertEquals(List.of(worker.copy()), runsOf("r"));
            long due = Math.max(SETTLED + workMillis * MILLI, SETTLED + 20 * MILLI + REDIALLED);
            assertTrue(answeredAt.get("r") <= due + 10 * MILLI, answeredAt.toString());
        }

        // Guards against the same where the link is lost again while the copy still works.
        @Test
        void theAnswerIsDeliveredAfterSeveralLosses() {
            settled(3 * SECOND);
            send("r");
            for (int i = 1; i <= 5; i++) {
                fleet.runUntil(SETTLED + i * 500 * MILLI);
                fleet.resetLink(i % 2 == 0 ? entry : worker, i % 2 == 0 ? worker : entry);
            }
            fleet.runUntil(SETTLED + 9 * SECOND);
            assertGood("r");
            assertEquals(1, runsOf("r").size());
        }

        // Guards against an answer that is not kept until the link is back, which can take more than one dial.
        @Test
        void theAnswerIsKeptWhileTheLinkIsCut() {
            settled(300 * MILLI);
            send("r");
            fleet.runUntil(SETTLED + 20 * MILLI);
            fleet.cutLink(entry, worker, SETTLED + 1500 * MILLI);
            fleet.runUntil(SETTLED + 9 * SECOND);
            assertGood("r");
            assertTrue(answeredAt.get("r") <= SETTLED + 1500 * MILLI + REDIALLED, answeredAt.toString());
        }

        // Guards against the same where the link goes silent and is reset by the node that waits for the answer.
        @Test
        void theAnswerIsDeliveredAfterALinkWentSilent() {
            settled(4 * SECOND);
            send("r");
            fleet.runUntil(SETTLED + 20 * MILLI);
            fleet.silence(entry, worker);
            fleet.runUntil(SETTLED + 9 * SECOND);
            assertGood("r");
            assertEquals(1, runsOf("r").size());
        }

        // Guards against a client that waits until its deadline for a node that can't be reached any more.
        @Test
        void aLinkThatStaysCutEndsTheRequestWithinTheBound() {
            settled(300 * MILLI);
            send("r");
            long lost = SETTLED + 20 * MILLI;
            fleet.runUntil(lost);
            fleet.cutLink(entry, worker, SETTLED + 8 * SECOND);
            fleet.runUntil(SETTLED + 12 * SECOND);
            assertUnknownBy("r", lost + LINK_BOUND + 10 * MILLI);
            assertEquals(1, runsOf("r").size());
        }

        // Guards against a request that waits for the link beyond its deadline.
        @Test
        void theDeadlineHoldsWhileTheLinkIsCut() {
            settled(300 * MILLI);
            send("r", ONCE, 500 * MILLI);
            fleet.runUntil(SETTLED + 20 * MILLI);
            fleet.cutLink(entry, worker, SETTLED + 8 * SECOND);
            fleet.runUntil(SETTLED + 12 * SECOND);
            assertTrue(outcomes.get("r") instanceof Outcome.Unknown, outcomes.toString());
            assertTrue(answeredAt.get("r") <= SETTLED + 510 * MILLI, answeredAt.toString());
        }

        // Guards against an idempotent request that waits for the link although another copy is free.
        @Test
        void anIdempotentRequestIsTriedElsewhereAtOnce() {
            settled(3 * SECOND);
            send("r", SAFE, TIMEOUT);
            fleet.runUntil(SETTLED + 10 * MILLI);
            VirtualNode other = worker("10.1.2.2", 10 * MILLI);
            fleet.runUntil(SETTLED + 2 * SECOND);
            fleet.resetLink(entry, worker);
            fleet.runUntil(SETTLED + 2050 * MILLI);
            assertGood("r");
            assertEquals(List.of(worker.copy(), other.copy()), runsOf("r"));
        }

        // Guards against a copy that works on after its client has left while the link was down.
        @Test
        void aClientThatLeavesMeanwhileEndsTheRun() {
            settled(5 * SECOND);
            send("r");
            fleet.runUntil(SETTLED + 20 * MILLI);
            fleet.resetLink(entry, worker);
            fleet.runUntil(SETTLED + 50 * MILLI);
            entry.deliver(new FleetEvent.ExchangeClosed(fleet.lastExchange()));
            assertEquals(1, worker.attemptsAtCopy().size());
            fleet.runUntil(SETTLED + 20 * MILLI + REDIALLED);
            assertEquals(List.of(), worker.attemptsAtCopy());
        }
    }

    @Nested
    class Waiting {

        private void oneRunsAndOneWaits() {
            settled(4 * SECOND);
            send("runs");
            fleet.runUntil(SETTLED + 10 * MILLI);
            send("waits");
            fleet.runUntil(SETTLED + 20 * MILLI);
            assertEquals(List.of(), runsOf("waits"));
        }

        /*
         * Guards against a request that is said to have possibly run although it only waited beside a full copy: its
         * place in the queue was given up without a word when the link was lost.
         */
        @Test
        void isTriedAtAnotherCopy() {
            oneRunsAndOneWaits();
            VirtualNode other = worker("10.1.2.2", 10 * MILLI);
            fleet.runUntil(SETTLED + 2 * SECOND);
            fleet.resetLink(entry, worker);
            fleet.runUntil(SETTLED + 2 * SECOND + REDIALLED + 30 * MILLI);
            assertGood("waits");
            assertEquals(List.of(other.copy()), runsOf("waits"));
            fleet.runUntil(SETTLED + 9 * SECOND);
            assertGood("runs");
            assertEquals(List.of(worker.copy()), runsOf("runs"));
        }

        // Guards against the same where there is no other copy: its client must learn that it did not run.
        @Test
        void isRefusedAsNotRunWhereNoOtherCopyIsLeft() {
            oneRunsAndOneWaits();
            fleet.resetLink(entry, worker);
            fleet.runUntil(SETTLED + 20 * MILLI + REDIALLED + 10 * MILLI);
            assertTrue(outcomes.get("waits") instanceof Outcome.NotRun, outcomes.toString());
            fleet.runUntil(SETTLED + 9 * SECOND);
            assertEquals(List.of(), runsOf("waits"));
            assertGood("runs");
        }
    }

    @Nested
    class InFlight {

        /*
         * Guards against a request that counts as not run, or runs again, because its answer was lost on the way, and
         * against a client that waits for that answer until its deadline.
         */
        @Test
        void aLostAnswerMakesTheRequestUnknownOnceTheLinkIsBack() {
            settled(100 * MILLI);
            send("r");
            long lost = SETTLED + 101 * MILLI + MILLI / 2;
            fleet.runUntil(lost);
            fleet.resetLink(entry, worker);
            fleet.runUntil(SETTLED + 12 * SECOND);
            assertUnknownBy("r", lost + REDIALLED + 10 * MILLI);
            assertEquals(1, runsOf("r").size());
        }

        // Guards against the same for a request that was lost on the way.
        @Test
        void aLostRequestIsUnknownOnceTheLinkIsBack() {
            settled(100 * MILLI);
            send("r");
            long lost = SETTLED + MILLI / 2;
            fleet.runUntil(lost);
            fleet.resetLink(entry, worker);
            fleet.runUntil(SETTLED + 12 * SECOND);
            assertUnknownBy("r", lost + REDIALLED + 10 * MILLI);
            assertEquals(0, runsOf("r").size());
        }

        /*
         * Guards against a second run and against "not run" for a request that ran, whenever links are lost: requests
         * of two nodes to three others, whose links are reset or cut at random.
         */
        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
        void noRequestRunsTwiceOrIsRefusedAfterItsRun(long seed) {
            settled(40 * MILLI);
            SplittableRandom random = new SplittableRandom(seed);
            List<VirtualNode> workers = List.of(worker, worker("10.1.2.2", 40 * MILLI), worker("10.1.2.3", 40 * MILLI));
            fleet.runUntil(SETTLED + 2 * SECOND);
            for (int i = 0; i < 1000; i++) {
                String name = "r" + i;
                long at = SETTLED + 2 * SECOND + i * 15 * MILLI;
                fleet.at(at, () -> send(name, ONCE, SECOND));
                if (random.nextInt(10) == 0) {
                    VirtualNode end = workers.get(random.nextInt(workers.size()));
                    long until = random.nextInt(4) == 0 ? random.nextLong(3 * SECOND) : 0;
                    fleet.at(at + random.nextLong(15 * MILLI), () -> fleet.cutLink(entry, end, fleet.now + until));
                }
            }
            fleet.runUntil(SETTLED + 30 * SECOND);
            assertEquals(1000, outcomes.size());
            outcomes.forEach((name, outcome) -> {
                int runs = runsOf(name).size();
                assertTrue(runs <= 1, name + " ran " + runs + " times");
                assertFalse(runs == 1 && outcome instanceof Outcome.NotRun, name + " ran and was refused");
            });
        }
    }

    @Nested
    class WithoutRoom {

        /*
         * Guards against a second run and against "not run" for a request that ran, where links are lost in quick
         * succession and some answers find no room on their connection.
         */
        @ParameterizedTest
        @CsvSource({"1,0", "2,0", "3,0", "4,0", "1,4", "2,4", "1,50", "2,50", "3,50", "4,50"})
        void noRequestRunsTwiceOrIsRefusedAfterItsRun(long seed, long noRoom) {
            settled(700 * MILLI);
            SplittableRandom random = new SplittableRandom(seed);
            List<VirtualNode> workers =
                    List.of(worker, worker("10.1.2.2", 700 * MILLI), worker("10.1.2.3", 700 * MILLI));
            fleet.runUntil(SETTLED + 2 * SECOND);
            fleet.noRoom = noRoom;
            for (int i = 0; i < 400; i++) {
                String name = "r" + i;
                long at = SETTLED + 2 * SECOND + i * 200 * MILLI;
                fleet.at(at, () -> send(name, ONCE, 4 * SECOND));
                VirtualNode end = workers.get(random.nextInt(workers.size()));
                fleet.at(at + random.nextLong(200 * MILLI), () -> fleet.resetLink(entry, end));
            }
            fleet.runUntil(SETTLED + 120 * SECOND);
            assertEquals(400, outcomes.size());
            List<String> wrong = outcomes.entrySet().stream()
                    .filter(each -> runsOf(each.getKey()).size() > 1
                            || runsOf(each.getKey()).size() == 1 && each.getValue() instanceof Outcome.NotRun)
                    .map(each -> each.getKey() + " ran " + runsOf(each.getKey()).size() + " times: " + each.getValue())
                    .toList();
            assertEquals(List.of(), wrong);
        }
    }

    @Nested
    class Questions {

        private AttemptIdentifier attempt;

        /** A copy works on a request; the link was lost, is back, and the other node was asked, but did not reply. */
        private void asked() {
            settled(3 * SECOND);
            send("r");
            fleet.runUntil(SETTLED + 10 * MILLI);
            attempt = worker.attemptsAtCopy().getFirst();
            worker("10.1.2.2", 10 * MILLI);
            fleet.runUntil(SETTLED + 2 * SECOND);
            fleet.resetLink(entry, worker);
            fleet.runUntil(SETTLED + 2 * SECOND + 102 * MILLI + MILLI / 2);
        }

        private CopyRequest question(AttemptIdentifier of) {
            return new CopyRequest(
                    of,
                    "r",
                    new ServiceName("back"),
                    new CopyName(worker.copy()),
                    new ServiceName("front"),
                    Optional.empty(),
                    ONCE,
                    1,
                    false,
                    0,
                    0,
                    0,
                    false,
                    OptionalDouble.empty(),
                    "route",
                    new NodeName("10.0.0.1"),
                    false,
                    new RequestContent("GET", ONCE, List.of(), Body.EMPTY));
        }

        private void reply(RefusalReason reason) {
            Outcome refusal = new Outcome.NotRun(reason, Duration.ofMillis(100), Step.QUEUE, Optional.empty());
            entry.deliver(new FleetEvent.PeerReceived(
                    worker.name, new CopyAnswer(attempt, refusal, new LoadReport(0, 1, 0, 0), List.of(), false)));
        }

        /*
         * Guards against a second run: a node that does not have the attempt any more refuses the question, which says
         * nothing about the attempt. Nodes before this question existed refuse it for any of these reasons.
         */
        @ParameterizedTest
        @EnumSource(names = {"DEADLINE", "DRAINING", "QUEUE_FULL", "EVICTED", "SUSPECTED", "QUARANTINED"})
        void thatAreRefusedMakeTheRequestUnknown(RefusalReason reason) {
            asked();
            reply(reason);
            fleet.runUntil(SETTLED + 9 * SECOND);
            assertUnknownBy("r", SETTLED + 2 * SECOND + 104 * MILLI);
            assertEquals(List.of(worker.copy()), runsOf("r"));
        }

        // Guards against a request that ends as unknown although the refusal is its copy's own.
        @ParameterizedTest
        @EnumSource(names = {"COPY_REFUSED", "COPY_UNREACHABLE", "PEER_UNREACHABLE"})
        void doNotHideARefusalOfTheAttemptItself(RefusalReason reason) {
            asked();
            reply(reason);
            fleet.runUntil(SETTLED + 9 * SECOND);
            assertGood("r");
            assertEquals(2, runsOf("r").size(), "the test's copy only pretends to refuse");
        }

        // Guards against a second run: a question that could not be sent does not show that the request was not sent.
        @Test
        void thatAreNotSentDoNotCountAsARequestNotSent() {
            asked();
            entry.deliver(new FleetEvent.PeerUnsent(worker.name, question(attempt)));
            fleet.runUntil(SETTLED + 9 * SECOND);
            assertGood("r");
            assertEquals(List.of(worker.copy()), runsOf("r"));
        }

        // Guards against a copy that runs a question for an attempt that its node does not have.
        @Test
        void areNeverRun() {
            settled(10 * MILLI);
            worker.deliver(new FleetEvent.PeerReceived(entry.name, question(new AttemptIdentifier(1, 2))));
            fleet.runUntil(SETTLED + SECOND);
            assertEquals(List.of(), fleet.runs);
        }

        /*
         * Guards against a second run: the reply to the question of one connection could not be sent, is kept and
         * delivered over the next one, and the question of that connection has a reply of its own.
         */
        @Test
        void ofTwoConnectionsInQuickSuccessionThatAreBothRepliedDoNotStartASecondRun() {
            asked();
            worker.deliver(new FleetEvent.PeerUnsent(
                    entry.name,
                    new CopyAnswer(
                            attempt,
                            new Outcome.NotRun(
                                    RefusalReason.DUPLICATE, Duration.ofMillis(50), Step.QUEUE, Optional.empty()),
                            new LoadReport(1, 1, 0, 0),
                            List.of(),
                            false)));
            fleet.resetLink(entry, worker);
            fleet.runUntil(SETTLED + 9 * SECOND);
            assertEquals(List.of(worker.copy()), runsOf("r"));
            assertGood("r");
        }

        // Guards against "not run" for a request that ran: a late reply to an earlier question is no refusal of it.
        @Test
        void thatAreRepliedTwiceNeverMakeARequestAtWorkNotRun() {
            asked();
            reply(RefusalReason.DUPLICATE);
            reply(RefusalReason.DEADLINE);
            fleet.runUntil(SETTLED + 9 * SECOND);
            assertEquals(List.of(worker.copy()), runsOf("r"));
            assertFalse(outcomes.get("r") instanceof Outcome.NotRun, outcomes.toString());
        }

        private List<FleetEffect> decidedOnQuestion(AttemptIdentifier of) {
            return worker.policy.decide(
                    new Moment(fleet.now, fleet.now / MILLI), new FleetEvent.PeerReceived(entry.name, question(of)));
        }

        private RefusalReason repliedTo(AttemptIdentifier of) {
            List<FleetEffect> decided = decidedOnQuestion(of);
            assertTrue(decided.stream().noneMatch(FleetEffect.SendToCopy.class::isInstance), decided.toString());
            return decided.stream()
                    .filter(FleetEffect.SendToPeer.class::isInstance)
                    .map(effect -> ((FleetEffect.SendToPeer) effect).message())
                    .filter(CopyAnswer.class::isInstance)
                    .map(message -> ((Outcome.NotRun) ((CopyAnswer) message).outcome()).reason())
                    .findFirst()
                    .orElseThrow();
        }

        // Guards against a reply that takes an attempt at work for a lost one, or the reverse, also at a full copy.
        @Test
        void areAnsweredAsDuplicatesOnlyWhereTheAttemptIs() {
            settled(SECOND);
            AttemptIdentifier absent = new AttemptIdentifier(1, 2);
            assertEquals(RefusalReason.DEADLINE, repliedTo(absent));
            send("r");
            fleet.runUntil(SETTLED + 10 * MILLI);
            assertEquals(
                    RefusalReason.DUPLICATE, repliedTo(worker.attemptsAtCopy().getFirst()));
            assertEquals(RefusalReason.DEADLINE, repliedTo(absent));
        }

        // Guards against a wait that the log does not explain: one line when it begins, one when it ends.
        @Test
        void areLoggedWithTheirReplies() {
            asked();
            fleet.runUntil(SETTLED + 9 * SECOND);
            assertEquals(
                    List.of("peer=10.1.2.1 state=waits waited_ms=0", "peer=10.1.2.1 state=at_work waited_ms=104"),
                    entry.log.stream()
                            .filter(Decision.LinkWait.class::isInstance)
                            .map(Decision::fields)
                            .toList());
        }
    }

    @Nested
    class Restarts {

        // Guards against a request that waits for an answer of a process that has ended, once its successor connects.
        @Test
        void anotherProcessOfTheOtherNodeEndsTheRequest() {
            settled(SECOND);
            send("r");
            fleet.runUntil(SETTLED + 50 * MILLI);
            worker.kill();
            fleet.runUntil(SETTLED + 300 * MILLI);
            worker.restart();
            fleet.runUntil(SETTLED + 12 * SECOND);
            assertUnknownBy("r", SETTLED + 300 * MILLI + REDIALLED);
            assertEquals(1, runsOf("r").size());
        }

        // Guards against a request that waits until its deadline for a node that has ended.
        @Test
        void aNodeThatDoesNotReturnEndsTheRequestWithinTheBound() {
            settled(SECOND);
            send("r");
            fleet.runUntil(SETTLED + 50 * MILLI);
            worker.kill();
            fleet.runUntil(SETTLED + 12 * SECOND);
            assertUnknownBy("r", SETTLED + 50 * MILLI + LINK_BOUND + 10 * MILLI);
        }

        /*
         * Guards against answers to attempts of a process that has ended, which its successor does not know, and
         * against the runs of requests that waited for their turn then and that nobody waits for.
         */
        @Test
        void anotherProcessOfTheSenderGetsNoAnswersOfItsPredecessor() {
            settled(SECOND);
            send("runs");
            fleet.runUntil(SETTLED + 10 * MILLI);
            send("waits");
            fleet.runUntil(SETTLED + 50 * MILLI);
            entry.kill();
            fleet.runUntil(SETTLED + 200 * MILLI);
            entry.restart();
            fleet.runUntil(SETTLED + 9 * SECOND);
            assertEquals(List.of(worker.copy()), runsOf("runs"));
            assertEquals(List.of(), runsOf("waits"));
            assertEquals(0, entry.answersReceived);
        }
    }

    @Nested
    class WhileConnected {

        private AttemptIdentifier atWork() {
            settled(9 * SECOND);
            send("r");
            fleet.runUntil(SETTLED + 10 * MILLI);
            return worker.attemptsAtCopy().getFirst();
        }

        // Guards against an answer that is kept for a next connection where the present one was only full.
        @Test
        void anAnswerThatTheLinkHadNoRoomForIsDelivered() {
            AttemptIdentifier attempt = atWork();
            worker.deliver(new FleetEvent.PeerUnsent(
                    entry.name,
                    new CopyAnswer(
                            attempt,
                            new Outcome.Answered(new AnswerContent(200, List.of(), Body.EMPTY)),
                            new LoadReport(0, 1, 0, 0),
                            List.of(),
                            false)));
            fleet.runUntil(SETTLED + SECOND);
            assertTrue(outcomes.containsKey("r"), "no answer within a second");
        }

        // Guards against a cancellation that is kept for a next connection where the present one was only full.
        @Test
        void aCancellationThatTheLinkHadNoRoomForIsDelivered() {
            AttemptIdentifier attempt = atWork();
            entry.deliver(new FleetEvent.PeerUnsent(worker.name, new CancelAttempt(attempt)));
            fleet.runUntil(SETTLED + 510 * MILLI);
            assertEquals(List.of(), worker.attemptsAtCopy());
        }
    }

    @Nested
    class OfIdempotentRequests {

        // Guards against ending the run of a request that no other copy can take because its link was reset.
        @Tag("known-red")
        @Test
        void theRunAtTheOnlyCopyGoesOn() {
            settled(SECOND);
            send("r", SAFE, TIMEOUT);
            fleet.runUntil(SETTLED + 20 * MILLI);
            fleet.resetLink(entry, worker);
            fleet.runUntil(SETTLED + 9 * SECOND);
            assertGood("r");
        }
    }

    @Nested
    class PlannedStops {

        // Guards against a client that waits for a node that has told all others that it ends.
        @Test
        void ofTheOtherNodeEndWhatTheyCutAtOnce() {
            settled(9 * SECOND);
            send("r");
            fleet.runUntil(SETTLED + 10 * MILLI);
            worker.deliver(new FleetEvent.StopRequested());
            while (!worker.stopped) {
                fleet.runUntil(fleet.now + MILLI);
            }
            long ended = fleet.now;
            worker.kill();
            fleet.runUntil(ended + 4 * SECOND);
            assertTrue(answeredAt.get("r") <= ended + 500 * MILLI, "after ms " + (answeredAt.get("r") - ended) / MILLI);
        }

        // Guards against a process that ends while it keeps an answer for a link that is dialled again.
        @Test
        void waitForTheLinkOfAnAnswerThatIsKept() {
            settled(2700 * MILLI);
            send("r");
            fleet.runUntil(SETTLED + 10 * MILLI);
            worker.deliver(new FleetEvent.StopRequested());
            fleet.runUntil(SETTLED + 2690 * MILLI);
            fleet.resetLink(entry, worker);
            while (!worker.stopped) {
                fleet.runUntil(fleet.now + MILLI);
            }
            worker.kill();
            fleet.runUntil(SETTLED + 9 * SECOND);
            assertGood("r");
        }
    }

    @Nested
    class UnpublishedNodes {

        // Guards against a node that ends the runs of another one that serves its clients without a published copy.
        @ParameterizedTest
        @ValueSource(strings = {ONCE, SAFE})
        void keepTheirRunsAtOtherCopies(String path) {
            settled(5 * SECOND);
            entry.unpublish();
            fleet.runUntil(SETTLED + 18 * SECOND);
            send("r", path, 9 * SECOND);
            fleet.runUntil(SETTLED + 30 * SECOND);
            assertGood("r");
        }
    }
}
