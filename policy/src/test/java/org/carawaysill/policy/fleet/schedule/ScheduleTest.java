package org.carawaysill.policy.fleet.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.carawaysill.model.fleet.Destination;
import org.carawaysill.model.fleet.RequestKind;
import org.carawaysill.model.fleet.Route;
import org.carawaysill.model.identity.ServiceName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** The parts of the schedule of a copy: what routes say, what is learned, and how slots and callers share. */
class ScheduleTest {

    private static final long MILLI = Duration.ofMillis(1).toNanos();
    private static final long SECOND = 1000 * MILLI;
    private static final ServiceName SERVICE = new ServiceName("mixed");

    private static Route route(String name, String service, long timeoutMillis, long aimMillis) {
        return new Route(
                name,
                "host",
                "/" + name + "/",
                List.of(new Destination(new ServiceName(service), 1)),
                RequestKind.READ,
                Duration.ofMillis(timeoutMillis),
                1,
                Duration.ofMillis(aimMillis),
                0,
                false);
    }

    private static Optional<ServiceWork> mixed(Route... more) {
        List<Route> routes = new ArrayList<>(List.of(more));
        routes.add(route("short", "mixed", 700, 300));
        routes.add(route("long", "mixed", 5000, 2500));
        return ServiceWork.of(SERVICE, routes);
    }

    @Nested
    class Work {

        @Test
        void isDividedWhereTimeoutsDifferByAFactorOfFour() {
            ServiceWork work = mixed(route("between", "mixed", 2799, 0), route("four", "mixed", 2800, 0))
                    .orElseThrow();
            assertEquals(WorkClass.SHORT, work.classOf("short"));
            assertEquals(WorkClass.SHORT, work.classOf("between"));
            assertEquals(WorkClass.LONG, work.classOf("four"));
            assertEquals(WorkClass.LONG, work.classOf("long"));
            assertEquals(WorkClass.LONG, work.classOf("not known"));
        }

        @Test
        void isNotDividedElsewhere() {
            assertEquals(
                    Optional.empty(),
                    ServiceWork.of(SERVICE, List.of(route("a", "mixed", 700, 0), route("b", "mixed", 2799, 0))));
            assertEquals(
                    Optional.empty(), ServiceWork.of(new ServiceName("other"), List.of(route("a", "mixed", 1, 0))));
        }

        /** Aims of 0, aims above the timeout, and routes without a timeout say nothing of how long callers can wait. */
        @Test
        void waitsForTheShorterOfAimAndTimeout() {
            ServiceWork work = mixed(
                            route("no aim", "mixed", 600, 0),
                            route("aim later", "mixed", 650, 9000),
                            route("free", "mixed", 0, 1))
                    .orElseThrow();
            assertEquals(Map.of(WorkClass.SHORT, 300 * MILLI, WorkClass.LONG, 2500 * MILLI), work.waitNanos());
            assertEquals(WorkClass.LONG, work.classOf("free"));
            assertFalse(work.aimNanos().containsKey("no aim"));
        }
    }

    @Nested
    class Times {

        private final RouteTimes times = new RouteTimes();

        private void add(long now, int runs, long millis, boolean done) {
            for (int i = 0; i < runs; i++) {
                times.add(now, "route", millis * MILLI, done);
            }
        }

        @Test
        void areUnknownBeforeTwentyRuns() {
            add(0, 19, 50, true);
            assertEquals(0, times.leastNanos(0, "route"));
            add(0, 1, 40, true);
            assertEquals(40 * MILLI, times.leastNanos(0, "route"));
            assertEquals(0, times.leastNanos(0, "other"));
        }

        /* Guards against taking a quick failure for a run: what can still be done would be let through either way. */
        @Test
        void ofFailuresSayNothingOfTheLeast() {
            add(0, 20, 50, true);
            add(0, 20, 1, false);
            assertEquals(50 * MILLI, times.leastNanos(0, "route"));
        }

        /* Guards against refusals by times of long ago, which no run would ever correct. */
        @Test
        void ageAndAreForgotten() {
            add(0, 30, 50, true);
            add(6 * SECOND, 30, 90, true);
            assertEquals(50 * MILLI, times.leastNanos(6 * SECOND, "route"));
            add(11 * SECOND, 30, 90, true);
            assertEquals(90 * MILLI, times.leastNanos(11 * SECOND, "route"));
            assertEquals(0, times.leastNanos(22 * SECOND, "route"));
            assertEquals(0, times.meanNanos(22 * SECOND, "route"));
            add(22 * SECOND, 1, 200, true);
            assertEquals(200 * MILLI, times.meanNanos(22 * SECOND, "route"));
        }

        @Test
        void areBoundedInNumber() {
            for (int i = 0; i < 10_000; i++) {
                times.add(0, "route-" + i, 1, true);
            }
            assertEquals(1, times.meanNanos(0, "route-9999"));
        }
    }

    @Nested
    class Parts {

        private static final int SLOTS = 20;

        private final ClassParts parts = new ClassParts(0, mixed().orElseThrow());

        /** Asks for work of some slots for a span of seconds. */
        private void ask(WorkClass workClass, double slots, long from, long until) {
            long runNanos = 50 * MILLI;
            long gap = (long) (runNanos / slots);
            for (long now = from * SECOND; now < until * SECOND; now += gap) {
                parts.asked(now, workClass, runNanos);
                parts.mostLong(now, SLOTS);
            }
        }

        @Test
        void holdWhatShortWorkAsksForAndALittleMore() {
            ask(WorkClass.SHORT, 8, 0, 6);
            int most = parts.mostLong(6 * SECOND, SLOTS);
            assertTrue(most >= 10 && most <= 12, "long work may use " + most);
        }

        @Test
        void goToLongWorkOnceShortWorkAsksForNothing() {
            ask(WorkClass.SHORT, 8, 0, 6);
            assertEquals(SLOTS, parts.mostLong(12 * SECOND, SLOTS));
        }

        @Test
        void leaveLongWorkItsFloor() {
            ask(WorkClass.SHORT, 100, 0, 6);
            assertEquals(SLOTS / 4, parts.mostLong(6 * SECOND, SLOTS));
            assertEquals(SLOTS / 4, parts.guaranteedLong(6 * SECOND, SLOTS));
        }

        /* Guards against parts that swing with each burst: long runs can't give slots back as fast. */
        @Test
        void changeByNoMoreThanHalfOfTheSlotsInASecond() {
            parts.mostLong(2 * SECOND, SLOTS);
            for (int i = 0; i < 1000; i++) {
                parts.asked(2 * SECOND, WorkClass.SHORT, 50 * MILLI);
            }
            assertEquals(SLOTS, parts.mostLong(2 * SECOND, SLOTS));
            assertEquals(SLOTS - 1, parts.mostLong(2 * SECOND + 100 * MILLI, SLOTS));
        }

        @Test
        void ofASingleSlotAreThatSlot() {
            ask(WorkClass.SHORT, 10, 0, 1);
            assertEquals(1, parts.mostLong(SECOND, 1));
            assertEquals(1, parts.guaranteedLong(SECOND, 1));
        }
    }

    @Nested
    class Callers {

        private final CallerTurns shares = new CallerTurns();

        @Test
        void areAheadOnceTheyWereGivenMoreThanOneThatWaits() {
            shares.waits("other");
            for (int i = 0; i < 4; i++) {
                shares.waits("greedy");
                shares.waitsNoLonger("greedy");
                shares.given("greedy", 10);
            }
            assertFalse(shares.isAhead("greedy"));
            shares.given("greedy", 10);
            assertTrue(shares.isAhead("greedy"));
            assertFalse(shares.isAhead("other"));
            shares.waitsNoLonger("other");
            shares.given("other", 10);
            assertFalse(shares.isAhead("greedy"));
        }

        /* Guards against a table that grows with each caller that ever asked. */
        @Test
        void areForgottenOnceTheyAskNoMore() {
            for (int i = 0; i < 10_000; i++) {
                shares.given("caller-" + i, 10);
            }
            assertEquals(0, shares.size());
            shares.waits("waiting");
            for (int i = 0; i < 10_000; i++) {
                shares.given("caller-" + i, 10);
            }
            assertTrue(shares.size() <= 257, shares.size() + " callers");
            shares.waitsNoLonger("waiting");
            assertEquals(0, shares.size());
        }
    }
}
