package org.carawaysill.policy.fleet.copy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.carawaysill.policy.fleet.mechanism.Mechanism;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Load on a gate whose copy does both short and long work, with and without the division of its slots.
 *
 * <p>Figures are means over {@link #SEEDS} seeds.
 */
class ClassedLineTest {

    private static final int SEEDS = 10;
    private static final int SLOTS = 13;
    private static final int SECONDS = 30;
    private static final Set<Mechanism> UNDIVIDED = EnumSet.of(Mechanism.WORK_CLASSES);

    private static double mean(
            Set<Mechanism> disabledMechanisms,
            ClassQueue.Order order,
            int slots,
            Play play,
            ToDoubleFunction<GateLoad> figure) {
        return LongStream.rangeClosed(1, SEEDS)
                .mapToDouble(seed -> {
                    GateLoad load = new GateLoad(seed, slots, disabledMechanisms, order);
                    play.on(load, slots);
                    load.play(SECONDS + 10);
                    assertTrue(load.isOver(), "requests are left over");
                    return figure.applyAsDouble(load);
                })
                .average()
                .orElseThrow();
    }

    private static double mean(Set<Mechanism> disabledMechanisms, Play play, ToDoubleFunction<GateLoad> figure) {
        return mean(disabledMechanisms, ClassQueue.Order.LEAST_SLACK, SLOTS, play, figure);
    }

    @FunctionalInterface
    private interface Play {

        void on(GateLoad load, int slots);
    }

    /** Nine tenths of what fits, half of it long; for eight seconds, 2.6 times as much long work. */
    private static void surge(GateLoad load, int slots) {
        double half = 0.9 * slots / 2;
        load.offer(GateLoad.CALL, "caller", half / 2, 0, SECONDS);
        load.offer(GateLoad.CHAIN, "caller", half / 2, 0, SECONDS);
        load.offer(GateLoad.LONG, "caller", half, 0, SECONDS);
        load.offer(GateLoad.LONG, "caller", 1.6 * half, 8, 16);
    }

    @Nested
    class ShortCallsBesideLongWork {

        /*
         * Guards against long runs in all slots of a copy: calls that have 300 ms to their aim wait behind runs of
         * 700 ms that have 2.5 s.
         */
        @Test
        void areInAimWhileLongWorkSurges() {
            double undivided = mean(UNDIVIDED, ClassedLineTest::surge, load -> load.inAim("single", 0, SECONDS));
            double divided = mean(Set.of(), ClassedLineTest::surge, load -> load.inAim("single", 0, SECONDS));
            assertTrue(divided > 0.97, "in aim " + divided);
            assertTrue(undivided < 0.8, "in aim " + undivided + " in one queue");
        }

        @Test
        void areInAimInAChainOfFour() {
            double undivided = mean(UNDIVIDED, ClassedLineTest::surge, load -> load.inAim("chain", 8, 16));
            double divided = mean(Set.of(), ClassedLineTest::surge, load -> load.inAim("chain", 8, 16));
            assertTrue(divided > 0.97, "in aim " + divided);
            assertTrue(undivided < 0.8, "in aim " + undivided + " in one queue");
        }

        @Test
        void leaveMostLongWorkServed() {
            double served = mean(Set.of(), ClassedLineTest::surge, load -> load.served("long", 0, SECONDS));
            double after = mean(Set.of(), ClassedLineTest::surge, load -> load.inAim("long", 20, SECONDS));
            assertTrue(served > 0.65, "long work served " + served);
            assertTrue(after > 0.9, "long work in aim after the surge " + after);
        }

        @Test
        void areInAimAtASmallCopy() {
            ToDoubleFunction<GateLoad> shortWork = load -> load.inAim("chain", 0, SECONDS);
            double divided = mean(Set.of(), ClassQueue.Order.LEAST_SLACK, 8, ClassedLineTest::surge, shortWork);
            assertTrue(divided > 0.97, "in aim " + divided);
        }

        /* Guards against long runs that start when they are about to be late. */
        @Test
        void leaveMoreLongWorkInAimByLeastSlack() {
            ToDoubleFunction<GateLoad> longWork = load -> load.inAim("long", 0, SECONDS);
            double oldest = mean(Set.of(), ClassQueue.Order.OLDEST_ROOT, SLOTS, ClassedLineTest::surge, longWork);
            double least = mean(Set.of(), ClassQueue.Order.LEAST_SLACK, SLOTS, ClassedLineTest::surge, longWork);
            assertTrue(least > oldest + 0.05, "least slack " + least + ", oldest root " + oldest);
        }

        /* Guards against calls that stand alone waiting behind chains, which are older but have more time left. */
        @Test
        void goByLeastSlack() {
            ToDoubleFunction<GateLoad> calls = load -> load.inAim("single", 8, 16);
            double oldest = mean(Set.of(), ClassQueue.Order.OLDEST_ROOT, SLOTS, ClassedLineTest::surge, calls);
            double least = mean(Set.of(), ClassQueue.Order.LEAST_SLACK, SLOTS, ClassedLineTest::surge, calls);
            assertTrue(least > oldest + 0.02, "least slack " + least + ", oldest root " + oldest);
        }

        /*
         * Guards against parts that stay as they were: the copy restarts at half its speed while the slots of short
         * work are lent to long work, so that nothing that was learned is true any more.
         */
        @Test
        void areInAimSoonAfterTheCopyRestartedWithSlotsLent() {
            ToDoubleFunction<GateLoad> calls = load -> load.inAim("single", 12, SECONDS);
            double restarted = mean(Set.of(), (load, slots) -> slowFrom(10, load, slots), calls);
            double slow = mean(Set.of(), (load, slots) -> slowFrom(0, load, slots), calls);
            double undivided = mean(UNDIVIDED, (load, slots) -> slowFrom(10, load, slots), calls);
            assertTrue(restarted > slow - 0.02, "in aim " + restarted + ", at a copy that was always slow " + slow);
            assertTrue(restarted > 0.94 && undivided < 0.5, "in aim " + restarted + ", in one queue " + undivided);
        }

        private static void slowFrom(double second, GateLoad load, int slots) {
            load.offer(GateLoad.LONG, "caller", slots, 0, SECONDS);
            load.offer(GateLoad.CALL, "caller", 0.2 * slots, 10, SECONDS);
            load.at(second, () -> load.restart(0.5));
        }
    }

    @Nested
    class LongWork {

        /* Guards against starving long work while short work alone asks for twice what fits. */
        @Test
        void keepsAQuarterOfTheSlots() {
            Play flood = (load, slots) -> {
                load.offer(GateLoad.CALL, "caller", 2.0 * slots, 0, SECONDS);
                load.offer(GateLoad.LONG, "caller", 0.2 * slots, 0, SECONDS);
            };
            double served = mean(Set.of(), flood, load -> load.served("long", 4, SECONDS));
            assertTrue(served > 0.9, "long work served " + served);
        }

        /* Guards against slots that are held free for short work that does not come. */
        @Test
        void getsAllSlotsWhileThereIsNoOther() {
            Play alone = (load, slots) -> load.offer(GateLoad.LONG, "caller", 0.8 * slots, 0, SECONDS);
            double inAim = mean(Set.of(), alone, load -> load.inAim("long", 4, SECONDS));
            double undivided = mean(UNDIVIDED, alone, load -> load.inAim("long", 4, SECONDS));
            assertTrue(inAim > undivided - 0.01, "in aim " + inAim + ", in one queue " + undivided);
        }

        /** A copy of one slot can't divide it. */
        @Test
        void takesTurnsWithShortWorkAtOneSlot() {
            Play both = (load, _) -> {
                load.offer(GateLoad.CALL, "caller", 0.3, 0, SECONDS);
                load.offer(GateLoad.LONG, "caller", 0.3, 0, SECONDS);
            };
            ToDoubleFunction<GateLoad> longWork = load -> load.served("long", 0, SECONDS);
            assertTrue(mean(Set.of(), ClassQueue.Order.LEAST_SLACK, 1, both, longWork) > 0.9);
        }
    }

    @Nested
    class ACallerWhoAsksForMore {

        private static final int OTHERS = 6;

        /** Several callers ask for 0.6 of what fits, and one more for two and a half times as much as all of them. */
        private static Play greed(GateLoad.Kind kind) {
            return (load, slots) -> {
                for (int i = 0; i < OTHERS; i++) {
                    load.offer(kind, "other-" + i, 0.6 * slots / OTHERS, 0, SECONDS);
                }
                load.offer(kind, "greedy", 2.5 * 0.6 * slots, 0, SECONDS);
            };
        }

        private static double others(GateLoad load) {
            return IntStream.range(0, OTHERS)
                    .mapToDouble(i -> load.inAim("other-" + i, 0, SECONDS))
                    .average()
                    .orElseThrow();
        }

        private static void assertOthersAreServed(GateLoad.Kind kind) {
            double undivided = mean(UNDIVIDED, greed(kind), ACallerWhoAsksForMore::others);
            double others = mean(Set.of(), greed(kind), ACallerWhoAsksForMore::others);
            assertTrue(others > 0.95, "others in aim " + others);
            assertTrue(undivided < 0.6, "others in aim " + undivided + " in one queue");
        }

        /* Guards against one caller that takes the places of the others in the queue by asking more often. */
        @Test
        void doesNotDisplaceOthersWithShortWork() {
            assertOthersAreServed(GateLoad.CALL);
        }

        @Test
        void doesNotDisplaceOthersWithLongWork() {
            assertOthersAreServed(GateLoad.LONG);
        }

        /* Guards against a caller whose requests all wait until they are late, and are run then. */
        @Test
        void getsWhatOthersLeaveInAim() {
            double inAim = mean(Set.of(), greed(GateLoad.CALL), load -> load.inAim("greedy", 0, SECONDS));
            assertTrue(inAim > 0.2, "in aim " + inAim);
        }
    }

    @Nested
    class WorkThatCantBeDoneInTime {

        private final GateLoad load = new GateLoad(1, SLOTS, Set.of(), ClassQueue.Order.LEAST_SLACK);

        private void learn() {
            load.offer(GateLoad.LONG, "caller", SLOTS / 2.0, 0, 5);
            load.play(9);
            assertTrue(load.isOver());
        }

        private LocalRun withTimeLeft(long millis) {
            return load.run(new GateLoad.Kind("long", "long", 2, 1, 700, 2500, millis), "caller", load.now);
        }

        /* Guards against a run that holds a slot and can only end after its caller has gone. */
        @Test
        void isRefusedAtOnceOnceTheTimeOfItsRouteIsKnown() {
            learn();
            assertInstanceOf(CopyGate.Offered.TooLate.class, load.gate.offer(load.now, withTimeLeft(20)));
            assertInstanceOf(CopyGate.Offered.Started.class, load.gate.offer(load.now, withTimeLeft(2000)));
        }

        @Test
        void isNotRefusedWhileTheTimeOfItsRouteIsUnknown() {
            LocalRun first = withTimeLeft(20);
            assertInstanceOf(CopyGate.Offered.Started.class, load.gate.offer(load.now, first));
            load.gate.finished(load.now, first, CopyGate.Ending.BROKEN_OFF);
            learn();
            load.gate.copyRestarted(load.now);
            assertInstanceOf(CopyGate.Offered.Started.class, load.gate.offer(load.now, withTimeLeft(20)));
        }

        @Test
        void isTakenFromTheQueueBeforeItsTimeIsOver() {
            learn();
            LocalRun waiting = withTimeLeft(2000);
            for (int i = 0; i < 2 * SLOTS; i++) {
                load.gate.offer(load.now, withTimeLeft(5000));
            }
            assertInstanceOf(CopyGate.Offered.Waits.class, load.gate.offer(load.now, waiting));
            long overdue = load.gate.nextOverdueNanos(0);
            assertTrue(overdue < waiting.deadlineNanos() && overdue > load.now);
            assertEquals(List.of(waiting), load.gate.takeOverdue(overdue, 0));
        }
    }
}
