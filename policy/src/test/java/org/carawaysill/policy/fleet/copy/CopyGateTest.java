package org.carawaysill.policy.fleet.copy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.carawaysill.model.fleet.CopyName;
import org.carawaysill.model.identity.AttemptIdentifier;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.model.request.Body;
import org.carawaysill.model.request.RequestContent;
import org.carawaysill.policy.fleet.mechanism.Mechanism;
import org.carawaysill.policy.message.PeerMessage.CopyRequest;
import org.carawaysill.policy.message.PeerMessage.LoadReport;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class CopyGateTest {

    private static final long SECOND = Duration.ofSeconds(1).toNanos();

    private final CopyGate gate = new CopyGate(Set.of(), Long.MAX_VALUE);
    private long attempts;

    private LocalRun run(int rank, int depth, long remainingNanos) {
        return run(rank, depth, 0, remainingNanos);
    }

    private LocalRun run(int rank, int depth, long rootAgeNanos, long remainingNanos) {
        return new LocalRun(request(rank, depth, rootAgeNanos, remainingNanos, false, Body.EMPTY), Optional.empty(), 0);
    }

    private CopyRequest request(
            int rank, int depth, long rootAgeNanos, long remainingNanos, boolean bodyFollows, Body body) {
        return new CopyRequest(
                new AttemptIdentifier(0, ++attempts),
                "request-" + attempts,
                new ServiceName("deep"),
                new CopyName("copy"),
                new ServiceName("entry"),
                Optional.empty(),
                "root",
                rank,
                true,
                depth,
                rootAgeNanos,
                remainingNanos,
                true,
                OptionalDouble.empty(),
                "route",
                new NodeName("10.0.0.1"),
                bodyFollows,
                new RequestContent("GET", "/", List.of(), body));
    }

    private void fill(int slots) {
        fill(gate, slots);
    }

    private void fill(CopyGate empty, int slots) {
        empty.limit(0, slots);
        for (int i = 0; i < slots; i++) {
            assertInstanceOf(CopyGate.Offered.Started.class, empty.offer(0, run(9, 0, SECOND)));
        }
    }

    @Nested
    class Order {

        /*
         * A request of low rank and one of high rank, for which two services above have already done work, wait for the
         * same slot of a deep service: the latter must get it, whichever arrived first.
         */
        @Test
        void isByRankThenByWorkDoneThenByTimeLeft() {
            CopyGate without = new CopyGate(Set.of(Mechanism.OLDEST_FIRST), Long.MAX_VALUE);
            fill(without, 1);
            LocalRun running = without.all().getFirst();
            LocalRun lookup = run(2, 3, SECOND);
            LocalRun shallow = run(0, 0, SECOND);
            LocalRun hurried = run(0, 2, SECOND / 2);
            LocalRun deep = run(0, 2, SECOND);
            List.of(lookup, shallow, deep, hurried).forEach(each -> without.offer(0, each));
            without.finished(0, running, CopyGate.Ending.DONE);
            assertStartedInOrder(without, List.of(hurried, deep, shallow, lookup));
        }

        private void assertStartedInOrder(CopyGate tested, List<LocalRun> order) {
            for (LocalRun expected : order) {
                assertEquals(List.of(expected), tested.startNext(0));
                tested.finished(0, expected, CopyGate.Ending.DONE);
            }
        }

        /*
         * Two lookups wait at a deep service: one with the seventh of its eight calls, and one with its first. Both
         * calls have just arrived, and the first lookup has 0.2 s left in all. It must go first, or all of its earlier
         * calls are wasted. An issuance that has just arrived goes before both.
         */
        @Test
        void isByRankThenByHowLongAgoTheCallerAsked() {
            fill(1);
            LocalRun running = gate.all().getFirst();
            LocalRun firstCalls = run(2, 3, SECOND / 10, SECOND / 4);
            LocalRun lastCalls = run(2, 3, 6 * SECOND / 10, SECOND / 5);
            LocalRun shallow = run(2, 0, SECOND / 2, SECOND / 10);
            LocalRun issuance = run(0, 0, 0, SECOND);
            List.of(firstCalls, shallow, lastCalls, issuance).forEach(each -> gate.offer(0, each));
            gate.finished(0, running, CopyGate.Ending.DONE);
            assertStartedInOrder(gate, List.of(issuance, lastCalls, shallow, firstCalls));
        }

        @Test
        void evictsTheLeastImportantWhenFull() {
            fill(1);
            LocalRun least = run(5, 0, SECOND);
            gate.offer(0, least);
            for (int i = 0; i < 15; i++) {
                gate.offer(0, run(1, 0, SECOND));
            }
            assertInstanceOf(CopyGate.Offered.Full.class, gate.offer(0, run(6, 0, SECOND)));
            assertEquals(new CopyGate.Offered.Waits(Optional.of(least)), gate.offer(0, run(2, 0, SECOND)));
        }
    }

    @Nested
    class Refusals {

        private static final int SLOTS = 20;

        private final CopyGate full = new CopyGate(Set.of(Mechanism.NEAR_FULL_LIMIT), Long.MAX_VALUE);

        private int limitAfter(int refusals) {
            full.limit(0, SLOTS);
            for (int i = 0; i < SLOTS; i++) {
                full.offer(0, run(9, 0, SECOND));
            }
            for (int i = 0; i < refusals; i++) {
                LocalRun refused = full.all().stream()
                        .filter(LocalRun::isRunning)
                        .findFirst()
                        .orElseThrow();
                full.refused();
                full.finished(0, refused, CopyGate.Ending.BROKEN_OFF);
                full.offer(0, run(9, 0, SECOND));
            }
            return full.load(0).limit();
        }

        /** The copy still works on requests that an earlier process of this node sent to it. */
        @Test
        void lowerTheLimit() {
            assertEquals(17, limitAfter(3));
        }

        /*
         * A copy refuses half of its requests, however few it receives. If each refusal were taken as a sign of a full
         * copy, half of its slots would stay empty for as long as it refuses.
         */
        @Test
        void thatComeWithHalfOfTheSlotsFreeDoNot() {
            assertEquals(SLOTS / 2, limitAfter(10));
            assertEquals(SLOTS, limitAfter(1));
        }
    }

    @Nested
    class RequestsOfOtherNodes {

        private static final int MEMORY_BYTES = 100_000;
        private static final int BODY_BYTES = 30_000;

        private final CopyGate bounded = new CopyGate(Set.of(), MEMORY_BYTES);

        private LocalRun received(boolean bodyFollows, int bodyBytes) {
            CopyRequest request = request(0, 0, 0, SECOND, bodyFollows, Body.wrap(new byte[bodyBytes]));
            return new LocalRun(request, Optional.of(new NodeName("10.0.0.2")), 0);
        }

        private void offer(LocalRun run) {
            assertTrue(bounded.hasMemoryFor(run));
            bounded.offer(0, run);
        }

        /** Guards against many nodes that send to one copy until the memory of its node is full. */
        @Test
        void areBoundedByTheirMemoryWhetherTheyWaitOrRun() {
            bounded.limit(0, 1);
            LocalRun first = received(false, BODY_BYTES);
            offer(first);
            offer(received(false, BODY_BYTES));
            offer(received(false, BODY_BYTES));
            assertFalse(bounded.hasMemoryFor(received(false, BODY_BYTES)));
            bounded.finished(0, first, CopyGate.Ending.DONE);
            assertTrue(bounded.hasMemoryFor(received(false, BODY_BYTES)));
            bounded.takeWaiting();
            assertEquals(0, bounded.receivedBytes());
        }

        /** Guards against bodies that arrive after their requests and are not counted. */
        @Test
        void areCountedWithTheirBodiesWhenTheseArrive() {
            bounded.limit(0, 2);
            LocalRun other = received(false, 2 * BODY_BYTES);
            LocalRun awaiting = received(true, 0);
            offer(other);
            offer(awaiting);
            assertFalse(bounded.hasMemoryFor(awaiting, Body.wrap(new byte[2 * BODY_BYTES])));
            bounded.bodyArrived(0, awaiting, received(false, BODY_BYTES).request());
            assertTrue(bounded.receivedBytes() > 3 * BODY_BYTES);
        }

        /** Guards against a single request within all limits that is refused while nothing else is there. */
        @Test
        void areAlwaysTakenAlone() {
            bounded.limit(0, 1);
            offer(received(false, 2 * MEMORY_BYTES));
        }
    }

    @Nested
    class Time {

        @Test
        void takesOutWhatIsOverdueAndNotMore() {
            fill(1);
            LocalRun late = run(0, 0, SECOND / 10);
            gate.offer(0, late);
            gate.offer(0, run(0, 0, SECOND));
            assertEquals(SECOND / 10, gate.nextOverdueNanos(0));
            assertEquals(List.of(late), gate.takeOverdue(SECOND / 10, 0));
            assertEquals(1, gate.load(0).queued());
        }

        @Test
        void refusesWhatIsTooLateAlready() {
            gate.limit(0, 1);
            assertInstanceOf(CopyGate.Offered.TooLate.class, gate.offer(SECOND, run(0, 0, SECOND)));
        }
    }

    @Property(tries = 200, seed = "5")
    void neverHasMoreAtTheCopyThanItsSlots(@ForAll List<Boolean> arrivals) {
        gate.limit(0, 3);
        for (boolean arrival : arrivals) {
            if (arrival) {
                gate.offer(0, run((int) (attempts % 4), 0, SECOND));
            } else {
                gate.all().stream().filter(LocalRun::isRunning).findFirst().ifPresent(done -> {
                    gate.finished(0, done, CopyGate.Ending.DONE);
                    gate.startNext(0);
                });
            }
            LoadReport load = gate.load(0);
            assertTrue(load.limit() >= 2 && load.limit() <= 3);
            assertTrue(load.inFlight() <= load.limit());
            assertTrue(load.inFlight() == load.limit() || load.queued() == 0);
        }
    }
}
