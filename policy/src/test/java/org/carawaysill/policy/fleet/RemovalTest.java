package org.carawaysill.policy.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.carawaysill.policy.fleet.VirtualFleet.VirtualNode;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Copies that leave by the removal of their entry, without being published as draining. */
class RemovalTest {

    private static final long MILLI = VirtualFleet.MILLI;
    private static final long SECOND = 1000 * MILLI;

    /** The time after which a copy whose entry was removed must get no more work. */
    private static final long BOUND = VirtualFleet.DRAIN_LIMIT.toNanos();

    private static final String PATH = "/entry/";
    private static final int COPIES = 28;
    private static final int ZONES = 3;
    private static final long REQUESTS_APART = 2 * MILLI;
    private static final long FIRST_REFUSED = 10 * SECOND;

    private final VirtualFleet fleet = new VirtualFleet(31);
    private final List<VirtualNode> nodes = new ArrayList<>();
    private final List<Departure> departures = new ArrayList<>();

    private record Departure(String copy, long at) {}

    RemovalTest() {
        fleet.configure(Routes.route(PATH, "front", true, 1, 900, 500));
        for (int i = 0; i < COPIES; i++) {
            VirtualNode node = fleet.add("front", "10." + i % ZONES + ".0." + i, "zone-" + i % ZONES, 20);
            node.works.put(PATH, new Work(5 * MILLI, List.of()));
            nodes.add(node);
        }
        fleet.runUntil(FIRST_REFUSED - SECOND);
    }

    private void refuseReads(List<VirtualNode> refused, long from, long until) {
        fleet.at(from, () -> refused.forEach(node -> node.readable = false));
        fleet.at(until, () -> refused.forEach(node -> node.readable = true));
    }

    private List<VirtualNode> zone(int zone) {
        return IntStream.iterate(zone, i -> i < COPIES, i -> i + ZONES)
                .mapToObj(nodes::get)
                .toList();
    }

    /** Removes the entries of copies one after the other. */
    private void depart(long from, long apart, int count) {
        for (int i = 0; i < count; i++) {
            VirtualNode node = nodes.get(i);
            long at = from + i * apart;
            fleet.at(at, () -> {
                node.unpublish();
                departures.add(new Departure(node.copy(), at));
            });
        }
    }

    private List<String> lateRuns(long until) {
        for (int i = 0; fleet.now < until; i++) {
            fleet.send(nodes.get(i % COPIES), "request " + fleet.now, PATH, SECOND, (_, _) -> {});
            fleet.runUntil(fleet.now + REQUESTS_APART);
        }
        return departures.stream()
                .filter(departure -> fleet.runs.stream()
                        .anyMatch(run -> run.copy().equals(departure.copy()) && run.at() > departure.at() + BOUND))
                .map(Departure::copy)
                .toList();
    }

    @Nested
    class Requests {

        /*
         * Guards against a node that, after the platform refused it, keeps using a removed copy because its entry may
         * come back.
         */
        @ParameterizedTest
        @ValueSource(longs = {0, 500, 1000, 1500, 2000, 2500})
        void areNotSentToCopiesThatLeaveAfterNodesWereRefused(long afterMillis) {
            long until = FIRST_REFUSED + 8 * SECOND;
            refuseReads(nodes.subList(COPIES / 2, COPIES), FIRST_REFUSED, until);
            depart(until + 3 * SECOND + afterMillis * MILLI, 700 * MILLI, 8);
            assertEquals(List.of(), lateRuns(until + 14 * SECOND));
        }

        /*
         * Guards against removals held back by all readers when those that failed take over from those that did not.
         */
        @ParameterizedTest
        @ValueSource(longs = {5200, 5700, 6200, 6700, 7200, 7700, 8200})
        void areNotSentToCopiesThatLeaveWhileReadersThatFailedComeBack(long afterMillis) {
            fleet.at(FIRST_REFUSED, () -> fleet.platformDown = true);
            fleet.at(FIRST_REFUSED + 2200 * MILLI, () -> fleet.platformDown = false);
            depart(FIRST_REFUSED + afterMillis * MILLI, 100 * MILLI, 4);
            assertEquals(List.of(), lateRuns(FIRST_REFUSED + 13 * SECOND));
        }

        /* Guards against a removal that neither the refused node nor the nodes that it informs learn of in time. */
        @Test
        void areNotSentToCopiesThatLeaveWhileOneZoneAfterTheOtherIsRefused() {
            for (int turn = 0; turn < ZONES; turn++) {
                long from = FIRST_REFUSED + turn * 8 * SECOND;
                refuseReads(zone(turn), from, from + 8 * SECOND);
            }
            depart(FIRST_REFUSED + SECOND, SECOND, COPIES - 5);
            assertEquals(List.of(), lateRuns(FIRST_REFUSED + 28 * SECOND));
        }
    }
}
