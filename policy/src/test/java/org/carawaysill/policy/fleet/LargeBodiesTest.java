package org.carawaysill.policy.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.carawaysill.model.fleet.Route;
import org.carawaysill.model.identity.AttemptIdentifier;
import org.carawaysill.model.request.Body;
import org.carawaysill.model.request.BodyCount;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.model.request.RefusalReason;
import org.carawaysill.model.request.UnknownReason;
import org.carawaysill.policy.fleet.VirtualFleet.VirtualNode;
import org.carawaysill.policy.fleet.body.HeldPlaces;
import org.carawaysill.policy.fleet.body.LargeBodies;
import org.carawaysill.policy.fleet.mechanism.Mechanism;
import org.carawaysill.policy.message.PeerMessage.AttemptBody;
import org.carawaysill.policy.message.PeerMessage.PlaceGranted;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Uploads whose bodies follow their requests, and what fails between the two. */
class LargeBodiesTest {

    private static final long MILLI = VirtualFleet.MILLI;
    private static final long SECOND = 1000 * MILLI;
    private static final long SETTLED = 4 * SECOND;
    private static final long TIMEOUT = 10 * SECOND;

    /** A message between two nodes takes 1 ms: the place is granted, the grant is received, the body is received. */
    private static final long GRANTED = SETTLED + MILLI;

    private static final long BODY_SENT = SETTLED + 2 * MILLI;
    private static final long BODY_RECEIVED = SETTLED + 3 * MILLI;
    private static final long HALF = MILLI / 2;

    private static final String UPLOAD = "/upload/";
    private static final String WRITE = "/write/";
    private static final Body LARGE = Body.wrap(new byte[60_000]);

    private VirtualFleet fleet = new VirtualFleet(5);
    private final Map<String, Outcome> outcomes = new HashMap<>();
    private final Map<String, Long> answeredAt = new HashMap<>();
    private VirtualNode entry;
    private VirtualNode worker;

    private VirtualNode worker(String host, long work) {
        VirtualNode node = fleet.add("back", host, "zone-1", 1);
        node.works.put(UPLOAD, new Work(work, List.of()));
        node.works.put(WRITE, new Work(work, List.of()));
        return node;
    }

    private static Route route(String path) {
        return Routes.route(path, "back", false, 1, TIMEOUT / MILLI, 500);
    }

    /** Starts a node for clients and a node whose copy runs one request at a time. */
    private void settled(long work) {
        fleet.configure(Routes.upload(route(UPLOAD)), route(WRITE));
        fleet.bodies.put(UPLOAD, LARGE);
        fleet.bodies.put(WRITE, LARGE);
        entry = fleet.add("front", "10.1.1.1", "zone-1", 4);
        worker = worker("10.1.2.1", work);
        fleet.runUntil(SETTLED);
    }

    private void send(VirtualNode at, String name, String path) {
        fleet.send(at, name, path, TIMEOUT, (when, outcome) -> {
            outcomes.put(name, outcome);
            answeredAt.put(name, when);
        });
    }

    private void send(String name) {
        send(entry, name, UPLOAD);
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

    private void assertNotRun(String name, RefusalReason reason) {
        assertTrue(
                outcomes.get(name) instanceof Outcome.NotRun notRun && notRun.reason() == reason, outcomes.toString());
        assertEquals(List.of(), runsOf(name));
    }

    /** Returns the node to which the entry sent its last attempt. */
    private VirtualNode chosen() {
        Decision.Sent sent = entry.log.stream()
                .filter(Decision.Sent.class::isInstance)
                .map(Decision.Sent.class::cast)
                .reduce((_, last) -> last)
                .orElseThrow();
        return fleet.nodes.get(sent.peer().value());
    }

    private int count(BodyCount kind) {
        return fleet.counts.getOrDefault(kind, 0);
    }

    /** Asserts that the only slot of the worker's copy is free: another upload runs without waiting. */
    private void assertSlotIsFree() {
        long now = fleet.now;
        send("next");
        fleet.runUntil(now + 20 * MILLI);
        assertEquals(1, runsOf("next").size());
    }

    @Nested
    class OnItsWay {

        // Guards against a body that is lost or sent more than once where nothing fails.
        @Test
        void theBodyFollowsOnceAndTheCopyGetsAllOfIt() {
            settled(50 * MILLI);
            send("r");
            fleet.runUntil(SETTLED + SECOND);
            assertGood("r");
            assertEquals(List.of(worker.copy()), runsOf("r"));
            assertEquals(LARGE, fleet.bodiesRun.get("r"));
            assertEquals(LARGE.length(), fleet.bodyBytes);
            assertEquals(1, fleet.sentCount(PlaceGranted.class));
            assertEquals(1, count(BodyCount.BODY_SENT));
        }

        // Guards against a body that waits in the memory of a gate, and crosses the link for nothing if refused there.
        @Test
        void noBodyIsSentBeforeASlotIsFree() {
            settled(200 * MILLI);
            send("runs");
            fleet.runUntil(SETTLED + 10 * MILLI);
            send("waits");
            fleet.runUntil(SETTLED + 150 * MILLI);
            assertEquals(LARGE.length(), fleet.bodyBytes);
            fleet.runUntil(SETTLED + SECOND);
            assertGood("waits");
            assertEquals(2 * LARGE.length(), fleet.bodyBytes);
        }

        // Guards against bodies that a full copy refuses after they have crossed the link.
        @Test
        void refusedRequestsMoveNoBody() {
            settled(3 * SECOND);
            for (int i = 0; i < 40; i++) {
                send("r" + i);
            }
            fleet.runUntil(SETTLED + SECOND);
            long refused = outcomes.values().stream()
                    .filter(Outcome.NotRun.class::isInstance)
                    .count();
            assertTrue(refused > 10, outcomes.toString());
            assertEquals(LARGE.length(), fleet.bodyBytes);
        }

        // Guards against a way of its own for what was sent at once before.
        @Test
        void smallBodiesOtherKindsAndTheOwnVmAreAsBefore() {
            settled(10 * MILLI);
            fleet.bodies.put(UPLOAD, Body.wrap(new byte[LargeBodies.LARGE_BYTES - 1]));
            send("small");
            send(entry, "write", WRITE);
            fleet.runUntil(SETTLED + SECOND);
            fleet.bodies.put(UPLOAD, LARGE);
            send(worker, "own", UPLOAD);
            fleet.runUntil(SETTLED + 2 * SECOND);
            List.of("small", "write", "own").forEach(LargeBodiesTest.this::assertGood);
            assertEquals(0, fleet.sentCount(PlaceGranted.class));
            assertEquals(LargeBodies.LARGE_BYTES - 1 + LARGE.length(), fleet.bodyBytes);
        }

        // Guards against a switch that leaves part of the mechanism on.
        @Test
        void withoutTheMechanismTheBodyTravelsWithItsRequest() {
            fleet = new VirtualFleet(5, Set.of(Mechanism.BODY_PLACES));
            settled(10 * MILLI);
            send("r");
            fleet.runUntil(SETTLED + SECOND);
            assertGood("r");
            assertEquals(0, fleet.sentCount(PlaceGranted.class));
            assertEquals(0, fleet.sentCount(AttemptBody.class));
        }
    }

    @Nested
    class BeforeTheBodyWasSent {

        /*
         * Guards against "may have run" for an upload that can't have run, whose client then may not repeat it: the
         * node that granted the place dies, and another copy is at hand.
         */
        @Test
        void theDeathOfTheNodeSendsTheRequestElsewhereAtOnce() {
            long at = grantedByOneOfTwo();
            VirtualNode granted = chosen();
            granted.kill();
            fleet.runUntil(at + 20 * MILLI);
            assertEquals(List.of(other(granted).copy()), runsOf("r"));
            fleet.runUntil(at + SECOND);
            assertGood("r");
        }

        // Guards against the same where only the link is lost.
        @Test
        void aLostLinkSendsTheRequestElsewhereAtOnce() {
            long at = grantedByOneOfTwo();
            VirtualNode granted = chosen();
            fleet.resetLink(entry, granted);
            fleet.runUntil(at + 20 * MILLI);
            assertEquals(List.of(other(granted).copy()), runsOf("r"));
            fleet.runUntil(at + SECOND);
            assertGood("r");
            assertEquals(LARGE.length(), fleet.bodyBytes);
        }

        private long grantedByOneOfTwo() {
            settled(50 * MILLI);
            worker("10.1.2.2", 50 * MILLI);
            fleet.runUntil(SETTLED + 2 * SECOND);
            long at = fleet.now;
            send("r");
            fleet.runUntil(at + MILLI + HALF);
            assertEquals(1, count(BodyCount.PLACE_GRANTED));
            return at;
        }

        private VirtualNode other(VirtualNode one) {
            return fleet.nodes.get(one == worker ? "10.1.2.2" : "10.1.2.1");
        }

        // Guards against a client that learns "may have run" for an upload that no copy is left for.
        @Test
        void theDeathOfTheOnlyNodeEndsTheRequestAsNotRun() {
            settled(50 * MILLI);
            send("r");
            fleet.runUntil(GRANTED + HALF);
            worker.kill();
            fleet.runUntil(SETTLED + SECOND);
            assertNotRun("r", RefusalReason.NO_COPY);
        }

        // Guards against a slot that stays held when its grant is lost.
        @Test
        void aLostGrantLapses() {
            settled(50 * MILLI);
            fleet.vanishing = PlaceGranted.class::isInstance;
            send("r");
            fleet.runUntil(GRANTED + HeldPlaces.LIMIT.toNanos() + 5 * MILLI);
            assertNotRun("r", RefusalReason.NO_COPY);
            assertEquals(1, count(BodyCount.PLACE_LAPSED));
            fleet.vanishing = _ -> false;
            assertSlotIsFree();
        }

        // Guards against a slot that stays held, and a sender that waits, when the grant finds no room on its link.
        @Test
        void aGrantWithoutRoomGivesUpTheSlot() {
            settled(50 * MILLI);
            send("r");
            fleet.at(SETTLED + HALF, () -> fleet.noRoom = 1);
            fleet.at(GRANTED + HALF, () -> fleet.noRoom = 0);
            fleet.runUntil(GRANTED + UnsentMessages.SEND_AGAIN_AFTER.toNanos() + 5 * MILLI);
            assertNotRun("r", RefusalReason.NO_COPY);
            assertEquals(1, count(BodyCount.GRANT_UNSENT));
            assertSlotIsFree();
        }

        // Guards against the same for the body, and against "may have run" for what was not sent.
        @Test
        void aBodyWithoutRoomEndsTheAttemptAsNotRun() {
            settled(50 * MILLI);
            send("r");
            fleet.at(GRANTED + HALF, () -> fleet.noRoom = 1);
            fleet.at(BODY_SENT + HALF, () -> fleet.noRoom = 0);
            fleet.runUntil(BODY_SENT + UnsentMessages.SEND_AGAIN_AFTER.toNanos() + 5 * MILLI);
            assertNotRun("r", RefusalReason.NO_COPY);
            assertEquals(1, count(BodyCount.BODY_UNSENT));
            assertSlotIsFree();
        }

        // Guards against a client that learns "may have run" at its deadline although the body was never sent.
        @Test
        void theDeadlineEndsTheRequestAsNotRun() {
            settled(50 * MILLI);
            fleet.vanishing = PlaceGranted.class::isInstance;
            fleet.send(entry, "r", UPLOAD, 100 * MILLI, (_, outcome) -> outcomes.put("r", outcome));
            fleet.runUntil(SETTLED + 120 * MILLI);
            assertTrue(outcomes.get("r") instanceof Outcome.NotRun, outcomes.toString());
            fleet.vanishing = _ -> false;
            assertSlotIsFree();
        }

        // Guards against a slot that stays held for a client that has left.
        @Test
        void aClientThatLeavesFreesTheSlot() {
            settled(50 * MILLI);
            fleet.vanishing = PlaceGranted.class::isInstance;
            send("r");
            fleet.runUntil(SETTLED + 20 * MILLI);
            entry.deliver(new FleetEvent.ExchangeClosed(fleet.lastExchange()));
            fleet.runUntil(SETTLED + 30 * MILLI);
            fleet.vanishing = _ -> false;
            assertSlotIsFree();
            assertEquals(List.of(), runsOf("r"));
            assertEquals(1, count(BodyCount.PLACE_RELEASED));
        }

        // Guards against a grant to a request that was cancelled in the meantime.
        @Test
        void aGrantForACancelledAttemptIsIgnored() {
            settled(50 * MILLI);
            send("r");
            fleet.runUntil(GRANTED + HALF);
            entry.deliver(new FleetEvent.ExchangeClosed(fleet.lastExchange()));
            fleet.runUntil(SETTLED + SECOND);
            assertEquals(List.of(), runsOf("r"));
            assertEquals(1, count(BodyCount.GRANT_IGNORED));
            assertEquals(0, fleet.bodyBytes);
        }

        // Guards against a slot that stays held for a node that has died.
        @Test
        void theDeathOfTheSenderFreesTheSlot() {
            settled(50 * MILLI);
            VirtualNode other = fleet.add("front", "10.1.1.2", "zone-1", 4);
            fleet.runUntil(SETTLED + 2 * SECOND);
            long at = fleet.now;
            send("r");
            fleet.runUntil(at + MILLI + HALF);
            entry.kill();
            fleet.runUntil(at + 5 * MILLI);
            send(other, "next", UPLOAD);
            fleet.runUntil(at + 20 * MILLI);
            assertEquals(1, runsOf("next").size());
            fleet.runUntil(at + SECOND);
            assertEquals(List.of(), runsOf("r"));
        }

        // Guards against a place that keeps a leaving copy's node from ending, or gets its work.
        @Test
        void aLeavingCopyGivesUpItsPlaces() {
            settled(50 * MILLI);
            fleet.vanishing = PlaceGranted.class::isInstance;
            send("r");
            fleet.runUntil(SETTLED + 20 * MILLI);
            worker.publish(true);
            fleet.runUntil(SETTLED + 450 * MILLI);
            assertTrue(outcomes.get("r") instanceof Outcome.NotRun, outcomes.toString());
            assertEquals(List.of(), runsOf("r"));
        }
    }

    @Nested
    class AfterTheBodyWasSent {

        // Guards against a second run of an upload whose node died with its body.
        @Test
        void theDeathOfTheNodeMakesTheRequestUnknown() {
            settled(50 * MILLI);
            worker("10.1.2.2", 50 * MILLI);
            fleet.runUntil(SETTLED + 2 * SECOND);
            long at = fleet.now;
            send("r");
            fleet.runUntil(at + 20 * MILLI);
            VirtualNode ran = chosen();
            ran.kill();
            fleet.runUntil(at + 30 * MILLI);
            ran.restart();
            fleet.runUntil(at + 4 * SECOND);
            assertTrue(
                    outcomes.get("r") instanceof Outcome.Unknown unknown && unknown.reason() == UnknownReason.PEER_LOST,
                    outcomes.toString());
            assertEquals(1, runsOf("r").size());
        }

        // Guards against the loss of an answer whose link was lost while the copy worked.
        @Test
        void aLinkLostDuringTheRunDeliversTheAnswer() {
            settled(50 * MILLI);
            send("r");
            fleet.runUntil(BODY_RECEIVED + 10 * MILLI);
            fleet.resetLink(entry, worker);
            fleet.runUntil(SETTLED + 2 * SECOND);
            assertGood("r");
            assertEquals(1, runsOf("r").size());
        }

        // Guards against a body that was lost on the way and counts as possibly run although its place was given up.
        @Test
        void aBodyLostWithItsLinkIsNotRunOnceTheLinkIsBack() {
            settled(50 * MILLI);
            send("r");
            fleet.runUntil(BODY_SENT + HALF);
            fleet.resetLink(entry, worker);
            fleet.runUntil(SETTLED + SECOND);
            assertEquals(List.of(), runsOf("r"));
            assertNotRun("r", RefusalReason.NO_COPY);
            assertSlotIsFree();
        }

        // Guards against a slot that stays held when a body is lost on a link that looks alive.
        @Test
        void aLostBodyLapses() {
            settled(50 * MILLI);
            fleet.vanishing = AttemptBody.class::isInstance;
            send("r");
            fleet.runUntil(SETTLED + HeldPlaces.LIMIT.toNanos() + 10 * MILLI);
            assertNotRun("r", RefusalReason.NO_COPY);
            fleet.vanishing = _ -> false;
            assertSlotIsFree();
        }

        /*
         * Guards against "may have run" for an upload whose body was lost with a connection of which only its sender
         * saw the end: the place is still held when the sender asks for the attempt.
         */
        @Test
        void aQuestionThatMeetsAPlaceWaitsUntilItLapses() {
            settled(50 * MILLI);
            fleet.vanishing = AttemptBody.class::isInstance;
            send("r");
            fleet.runUntil(BODY_RECEIVED);
            entry.deliver(new FleetEvent.PeerLost(worker.name));
            entry.deliver(new FleetEvent.PeerConnected(worker.name, 0));
            fleet.runUntil(SETTLED + 100 * MILLI);
            assertEquals(Map.of(), outcomes);
            fleet.runUntil(GRANTED + HeldPlaces.LIMIT.toNanos() + 5 * MILLI);
            assertNotRun("r", RefusalReason.NO_COPY);
            assertEquals(1, count(BodyCount.PLACE_LAPSED));
        }

        // Guards against a second run by a body that comes twice, from another node or after the end of the run.
        @Test
        void furtherBodiesAndGrantsAreIgnored() {
            settled(50 * MILLI);
            send("r");
            fleet.runUntil(BODY_RECEIVED + MILLI);
            AttemptIdentifier attempt = worker.attemptsAtCopy().getFirst();
            FleetEvent again = new FleetEvent.PeerReceived(entry.name, new AttemptBody(attempt, LARGE));
            worker.deliver(again);
            entry.deliver(new FleetEvent.PeerReceived(worker.name, new PlaceGranted(attempt)));
            fleet.runUntil(SETTLED + SECOND);
            worker.deliver(again);
            fleet.runUntil(SETTLED + 2 * SECOND);
            assertGood("r");
            assertEquals(1, runsOf("r").size());
            assertEquals(2, count(BodyCount.BODY_IGNORED));
            assertEquals(1, count(BodyCount.GRANT_IGNORED));
            assertEquals(LARGE.length(), fleet.bodyBytes);
        }

        // Guards against a body that another node than the request's sender passes off as its body.
        @Test
        void aBodyOfAnotherNodeIsIgnored() {
            settled(50 * MILLI);
            VirtualNode other = fleet.add("front", "10.1.1.2", "zone-1", 4);
            fleet.vanishing = AttemptBody.class::isInstance;
            fleet.runUntil(SETTLED + 2 * SECOND);
            send("r");
            fleet.runUntil(fleet.now + 10 * MILLI);
            AttemptIdentifier attempt = fleet.lastGranted;
            worker.deliver(new FleetEvent.PeerReceived(other.name, new AttemptBody(attempt, LARGE)));
            assertEquals(List.of(), runsOf("r"));
            assertEquals(1, count(BodyCount.BODY_IGNORED));
        }
    }

    @Nested
    class Suspected {

        // Guards against a crashing upload that is not recognised because its request came without its body.
        @Test
        void aCrashingUploadIsQuarantined() {
            settled(10 * MILLI);
            worker("10.1.2.2", 10 * MILLI);
            worker("10.1.2.3", 10 * MILLI);
            worker("10.1.2.4", 10 * MILLI);
            fleet.runUntil(SETTLED + 2 * SECOND);
            List<VirtualNode> workers = fleet.nodes.values().stream()
                    .filter(node -> node.service.equals("back"))
                    .toList();
            workers.forEach(node -> node.crashingRequest =
                    Optional.of(new VirtualFleet.CrashingRequest(UPLOAD + "bad", 5 * MILLI, 6 * MILLI, SECOND)));
            for (int i = 0; i < 30; i++) {
                String name = "bad" + i;
                fleet.at(SETTLED + 2 * SECOND + i * 700 * MILLI, () -> send(entry, name, UPLOAD + "bad"));
                String good = "good" + i;
                fleet.at(SETTLED + 2 * SECOND + (i * 700 + 350) * MILLI, () -> send(entry, good, UPLOAD + "good"));
            }
            fleet.runUntil(SETTLED + 30 * SECOND);
            int crashes = workers.stream().mapToInt(node -> node.crashes).sum();
            assertTrue(crashes <= 3, crashes + " crashes");
            assertNotRun("bad29", RefusalReason.QUARANTINED);
            long good = outcomes.entrySet().stream()
                    .filter(each -> each.getKey().startsWith("good") && Outcomes.isGood(each.getValue()))
                    .count();
            assertTrue(good >= 28, good + " of 30 others");
            assertNull(fleet.bodiesRun.get("bad29"));
        }
    }

    /*
     * Guards against a second run and against "not run" for an upload that ran, whatever is lost: links are reset or
     * cut, messages find no room or vanish, clients leave.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void noUploadRunsTwiceOrIsRefusedAfterItsRun(long seed) {
        settled(40 * MILLI);
        SplittableRandom random = new SplittableRandom(seed);
        List<VirtualNode> workers = List.of(worker, worker("10.1.2.2", 40 * MILLI), worker("10.1.2.3", 40 * MILLI));
        fleet.runUntil(SETTLED + 2 * SECOND);
        fleet.noRoom = 20;
        fleet.vanishing = message ->
                (message instanceof PlaceGranted || message instanceof AttemptBody) && random.nextInt(200) == 0;
        for (int i = 0; i < 1000; i++) {
            String name = "r" + i;
            long at = SETTLED + 2 * SECOND + i * 20 * MILLI;
            fleet.at(at, () -> fleet.send(entry, name, UPLOAD, SECOND, (_, outcome) -> outcomes.put(name, outcome)));
            if (random.nextInt(10) == 0) {
                VirtualNode end = workers.get(random.nextInt(workers.size()));
                long until = random.nextInt(4) == 0 ? random.nextLong(3 * SECOND) : 0;
                fleet.at(at + random.nextLong(20 * MILLI), () -> fleet.cutLink(entry, end, fleet.now + until));
            }
        }
        fleet.runUntil(SETTLED + 40 * SECOND);
        assertEquals(1000, outcomes.size());
        outcomes.forEach((name, outcome) -> {
            int runs = runsOf(name).size();
            assertTrue(runs <= 1, name + " ran " + runs + " times");
            assertFalse(runs == 1 && outcome instanceof Outcome.NotRun, name + " ran and was refused");
            assertTrue(runs == 0 || LARGE.equals(fleet.bodiesRun.get(name)), name + " ran without its body");
        });
        long good = outcomes.values().stream().filter(Outcomes::isGood).count();
        assertTrue(good > 700, good + " of 1000");
        fleet.vanishing = _ -> false;
        fleet.noRoom = 0;
        assertSlotIsFree();
    }
}
