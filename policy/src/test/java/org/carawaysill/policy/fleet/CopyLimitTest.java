package org.carawaysill.policy.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.carawaysill.model.request.CopyNotice;
import org.carawaysill.model.request.CopyNotice.Rate;
import org.carawaysill.policy.fleet.VirtualFleet.VirtualNode;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Seven nodes, five of them beside copies of one service that get 250 requests a second, none of which may run twice. */
class CopyLimitTest {

    private static final long MILLI = VirtualFleet.MILLI;
    private static final long SECOND = 1000 * MILLI;
    private static final String PATH = "/paced/";
    private static final int SLOTS = 64;
    private static final int OFFERED_PER_SECOND = 250;

    /** The first requests arrive. */
    private static final long BEGIN = 6 * SECOND;

    /** Copies state something about themselves. */
    private static final long STATED = 10 * SECOND;

    private static final long CHANGED = 18 * SECOND;
    private static final long END = 28 * SECOND;

    /** From this time after a copy first named a limit, the limit holds. */
    private static final long SETTLING = 3 * SECOND;

    /** What a node has passed on for this time binds it. */
    private static final long KNOWN_AFTER = SECOND / 2;

    private static final long WINDOW = 4 * SECOND;

    private final VirtualFleet fleet = new VirtualFleet(45);
    private final List<VirtualNode> copies = new ArrayList<>();
    private final List<VirtualNode> entries = new ArrayList<>();
    private int served;
    private int offered;

    @BeforeEach
    void serve() {
        fleet.configure(
                Routes.route(PATH, "worker", false, 1, 3000, 500),
                Routes.route("/other/", "other", true, 1, 3000, 500));
        for (int i = 0; i < 5; i++) {
            copies.add(add("worker", i));
        }
        entries.addAll(copies);
        entries.add(add("other", 5));
        entries.add(add("other", 6));
        for (long at = BEGIN; at < END; at += SECOND / OFFERED_PER_SECOND) {
            long arrives = at + fleet.random.nextLong(2 * SECOND / OFFERED_PER_SECOND);
            VirtualNode entry = entries.get(fleet.random.nextInt(entries.size()));
            fleet.at(arrives, () -> send(entry));
        }
    }

    private VirtualNode add(String service, int number) {
        String zone = "zone-" + number % 3;
        VirtualNode node = fleet.add(service, "10." + number % 3 + ".0." + (number + 1), zone, SLOTS);
        node.works.put(PATH, new Work(60 * MILLI, 0.5, List.of()));
        return node;
    }

    private void send(VirtualNode entry) {
        offered++;
        String name = "request-" + offered;
        fleet.send(entry, name, PATH + name, 3 * SECOND, (_, outcome) -> served += Outcomes.isGood(outcome) ? 1 : 0);
    }

    private static CopyNotice limited(double requestsPerSecond) {
        return new CopyNotice(new Rate.Limited(requestsPerSecond), false);
    }

    private void state(long at, int count, CopyNotice notice) {
        fleet.at(at, () -> copies.subList(0, count).forEach(copy -> copy.notice = notice));
    }

    private List<Long> runs(VirtualNode copy, long from, long until) {
        return fleet.runs.stream()
                .filter(run -> run.copy().equals(copy.copy()) && run.at() >= from && run.at() <= until)
                .map(VirtualFleet.Run::at)
                .toList();
    }

    private void assertWithinLimit(VirtualNode copy, double requestsPerSecond, long from, long until) {
        int most = RunsInWindows.most(runs(copy, from, until), WINDOW);
        double allowed = 1.5 * 4 * requestsPerSecond + 5;
        assertTrue(most <= allowed, () -> copy.name + " got " + most + " in 4 s, allowed " + allowed);
    }

    private void assertAllServed() {
        fleet.runUntil(END + 4 * SECOND);
        assertEquals(offered, served);
        assertEquals(
                offered,
                fleet.runs.stream()
                        .map(VirtualFleet.Run::requestName)
                        .distinct()
                        .count());
    }

    @Nested
    class ALimit {

        /* Guards against a copy that gets a multiple of the requests a second that its answers name. */
        @ParameterizedTest
        @ValueSource(doubles = {40, 12.5, 3, 0.4})
        void isKeptWhileOtherCopiesServeTheRest(double requestsPerSecond) {
            state(STATED, 2, limited(requestsPerSecond));
            assertAllServed();
            copies.subList(0, 2).forEach(copy -> assertWithinLimit(copy, requestsPerSecond, STATED + SETTLING, END));
        }

        /* Guards against a limit that is followed only as it was first named. */
        @ParameterizedTest
        @CsvSource({"40, 10", "40, 0.4", "12.5, 3"})
        void thatFallsIsKept(double first, double second) {
            state(STATED, 2, limited(first));
            state(CHANGED, 2, limited(second));
            assertAllServed();
            for (VirtualNode copy : copies.subList(0, 2)) {
                assertWithinLimit(copy, first, STATED + SETTLING, END);
                assertWithinLimit(copy, second, CHANGED + KNOWN_AFTER, END);
            }
        }

        /* Guards against a limit that stays in force although the copy has stopped naming it. */
        @ParameterizedTest
        @ValueSource(doubles = {12.5, 0.4, 0})
        void thatEndsIsForgotten(double requestsPerSecond) {
            state(STATED, 5, limited(requestsPerSecond));
            state(CHANGED, 5, CopyNotice.NONE);
            fleet.runUntil(END + 4 * SECOND);
            long later = CHANGED + 6 * SECOND;
            int runs = copies.stream()
                    .mapToInt(copy -> runs(copy, later, END).size())
                    .sum();
            assertTrue(runs >= 0.97 * OFFERED_PER_SECOND * (END - later) / SECOND, () -> runs + " runs");
        }

        /*
         * Guards against a restarted node that sends its copy everything until the first answer tells it the limit, which
         * takes long at a slow copy.
         */
        @ParameterizedTest
        @CsvSource({"12.5, 60", "3, 60", "0.4, 60", "12.5, 1500", "3, 1500", "0.4, 1500"})
        void isKeptThroughRestartsOfTheNodesBesideTheCopies(double requestsPerSecond, long workMillis) {
            copies.forEach(copy -> copy.works.put(PATH, new Work(workMillis * MILLI, 0.2, List.of())));
            state(STATED, 2, limited(requestsPerSecond));
            for (int i = 0; i < 2; i++) {
                VirtualNode node = copies.get(i);
                fleet.at(CHANGED + i * SECOND, node::kill);
                fleet.at(CHANGED + i * SECOND + SECOND / 2, node::restart);
            }
            fleet.runUntil(END + 4 * SECOND);
            copies.subList(0, 2).forEach(copy -> assertWithinLimit(copy, requestsPerSecond, STATED + SETTLING, END));
        }

        /* Guards against work that is lost, or a limit that is exceeded, where no copy has room. */
        @ParameterizedTest
        @ValueSource(doubles = {30, 15, 6})
        void ofTheWholeServiceIsUsedAndKept(double requestsPerSecond) {
            state(STATED, 5, limited(requestsPerSecond));
            fleet.runUntil(END + 4 * SECOND);
            copies.forEach(copy -> assertWithinLimit(copy, requestsPerSecond, STATED + SETTLING, END));
            long from = STATED + SETTLING;
            int runs = copies.stream()
                    .mapToInt(copy -> runs(copy, from, END).size())
                    .sum();
            double possible = 5 * requestsPerSecond * (END - from) / SECOND;
            assertTrue(runs >= 0.97 * possible, () -> runs + " of " + possible);
        }

        /* Guards against a limit that can't be read and stops all work, or ends the limit that is known. */
        @Test
        void thatCannotBeReadChangesNothing() {
            state(STATED, 5, new CopyNotice(new Rate.Unreadable(), false));
            assertAllServed();
        }
    }

    @Nested
    class ALeavingCopy {

        /* Guards against new requests to a copy whose answers say that it leaves while its entry is published as ready. */
        @Test
        void getsNothingMore() {
            state(STATED, 2, new CopyNotice(new Rate.Unlimited(), true));
            assertAllServed();
            copies.subList(0, 2)
                    .forEach(copy ->
                            assertEquals(0, runs(copy, STATED + 2 * SECOND, END).size()));
        }

        /* Guards against a restarted neighbour, or an entry that lapses and comes back, that brings it back to use. */
        @Test
        void getsNothingMoreFromNodesThatKnowIfItsNodeRestartsAndItsEntryComesBack() {
            VirtualNode leaving = copies.getFirst();
            fleet.at(STATED, () -> leaving.notice = new CopyNotice(new Rate.Unlimited(), true));
            fleet.at(STATED + 3 * SECOND, leaving::unpublish);
            fleet.at(STATED + 5 * SECOND, () -> leaving.publish(false));
            fleet.at(CHANGED, leaving::kill);
            fleet.at(CHANGED + SECOND / 2, leaving::restart);
            fleet.runUntil(END + 4 * SECOND);
            assertEquals(0, runs(leaving, STATED + 2 * SECOND, CHANGED).size());
            // Only the restarted node itself has forgotten, until the first answer.
            assertTrue(runs(leaving, CHANGED, END).size() <= OFFERED_PER_SECOND / entries.size());
        }

        /* Guards against a process that gets no work because an earlier one of the same name said that it leaves. */
        @Test
        void getsWorkAgainAsANewProcessOfTheSameName() {
            VirtualNode leaving = copies.getFirst();
            fleet.at(STATED, () -> leaving.notice = new CopyNotice(new Rate.Unlimited(), true));
            fleet.at(CHANGED, () -> {
                leaving.notice = CopyNotice.NONE;
                leaving.restartCopy();
            });
            fleet.runUntil(END + 4 * SECOND);
            assertTrue(runs(leaving, CHANGED + 2 * SECOND, END).size() > 100);
        }
    }
}
