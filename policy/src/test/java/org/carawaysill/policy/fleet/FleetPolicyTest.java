package org.carawaysill.policy.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.carawaysill.model.fleet.Route;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.policy.fleet.VirtualFleet.VirtualNode;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class FleetPolicyTest {

    private static final long MILLI = VirtualFleet.MILLI;
    private static final long SECOND = 1000 * MILLI;

    private final VirtualFleet fleet = new VirtualFleet(11);
    private final Map<String, Outcome> outcomes = new HashMap<>();

    private static Route route(String path, String service, boolean idempotent, int rank, long timeoutMillis) {
        return Routes.route(path, service, idempotent, rank, timeoutMillis, 500);
    }

    private List<VirtualNode> service(String name, int subnet, int copies, int slots, Map<String, Work> works) {
        List<VirtualNode> added = new ArrayList<>();
        for (int i = 1; i <= copies; i++) {
            VirtualNode node = fleet.add(name, "10." + i % 3 + '.' + subnet + '.' + i, "zone-" + i % 3, slots);
            node.works.putAll(works);
            added.add(node);
        }
        return added;
    }

    private void send(VirtualNode entry, String name, String path) {
        fleet.send(entry, name, path, SECOND, (_, outcome) -> outcomes.put(name, outcome));
    }

    private long good(String prefix) {
        return outcomes.entrySet().stream()
                .filter(entry -> entry.getKey().startsWith(prefix) && Outcomes.isGood(entry.getValue()))
                .count();
    }

    @Nested
    class Path {

        @Test
        void leadsThroughAllServicesAndBack() {
            fleet.configure(route("/entry/", "front", true, 1, 900), route("/deep/", "back", true, 1, 900));
            List<VirtualNode> front =
                    service("front", 1, 2, 10, Map.of("/entry/", new Work(10 * MILLI, List.of("/deep/", "/deep/"))));
            service("back", 2, 2, 10, Map.of("/deep/", new Work(5 * MILLI, List.of())));
            fleet.runUntil(3 * SECOND);
            assertTrue(front.getFirst().ready);
            send(front.getFirst(), "a", "/entry/");
            fleet.runUntil(4 * SECOND);
            assertEquals(1, good("a"));
            assertEquals(3, fleet.runs.size());
        }
    }

    @Nested
    class Leaving {

        /*
         * Guards against a node that the platform refuses and that keeps sending work to a leaving copy until the copy
         * ends. Every node must learn of the leave within the limit, from the platform or from another node.
         */
        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3, 4, 5})
        void copyGetsNoWorkAfterTheLimitThoughThePlatformRefusesNodes(long seed) {
            VirtualFleet seeded = new VirtualFleet(seed);
            seeded.configure(route("/entry/", "front", true, 1, 900));
            List<VirtualNode> nodes = new ArrayList<>();
            for (int i = 1; i <= 6; i++) {
                VirtualNode node = seeded.add("front", "10.0.0." + i, "zone-" + i % 3, 4);
                node.works.put("/entry/", new Work(20 * MILLI, List.of()));
                nodes.add(node);
            }
            seeded.runUntil(5 * SECOND);
            for (int i = 0; i < 4; i++) {
                nodes.get(seeded.random.nextInt(nodes.size())).readable = false;
            }
            for (int i = 0; i < 2000; i++) {
                String name = "r" + i;
                VirtualNode entry = nodes.get(i % nodes.size());
                seeded.at(5 * SECOND + i * 5 * MILLI, () -> seeded.send(entry, name, "/entry/", SECOND, (_, _) -> {}));
            }
            VirtualNode leaving = nodes.get((int) seed % nodes.size());
            long drained = 8 * SECOND + seed * 37 * MILLI;
            seeded.at(drained, () -> leaving.publish(true));
            seeded.runUntil(16 * SECOND);
            long latest = seeded.runs.stream()
                    .filter(run -> run.copy().equals(leaving.copy()))
                    .mapToLong(VirtualFleet.Run::at)
                    .max()
                    .orElse(0);
            assertTrue(latest > 7 * SECOND, "it got requests before");
            assertTrue(latest <= drained + VirtualFleet.DRAIN_LIMIT.toNanos(), "late by " + (latest - drained) / MILLI);
        }

        /*
         * Guards against restarting nodes one after the other faster than a node is away. When nodes announced the stop
         * at once, all copies of a small service were unreachable for two seconds, although their nodes still ran and
         * waited for clients to leave, and all requests that needed the service failed.
         */
        @Test
        void restartsInSeriesLeaveACopyInReach() {
            fleet.configure(route("/entry/", "front", true, 1, 900), route("/deep/", "back", true, 1, 900));
            VirtualNode entry = service("front", 1, 1, 50, Map.of("/entry/", new Work(5 * MILLI, List.of("/deep/"))))
                    .getFirst();
            List<VirtualNode> back = service("back", 2, 2, 50, Map.of("/deep/", new Work(5 * MILLI, List.of())));
            fleet.runUntil(5 * SECOND);
            fleet.at(5 * SECOND, () -> back.get(0).deliver(new FleetEvent.StopRequested()));
            fleet.at(5 * SECOND + 800 * MILLI, () -> back.get(1).deliver(new FleetEvent.StopRequested()));
            int sent = 200;
            for (int i = 0; i < sent; i++) {
                String name = "r" + i;
                fleet.at(5 * SECOND + i * 10 * MILLI, () -> send(entry, name, "/entry/"));
            }
            fleet.runUntil(12 * SECOND);
            assertTrue(back.get(0).stopped && back.get(1).stopped);
            assertEquals(sent, good("r"));
        }

        /*
         * A node is ordered to stop while it handles requests. All of them must be answered, and the process must end
         * soon after.
         */
        @Test
        void nodeFinishesItsRequestsFirst() {
            fleet.configure(route("/entry/", "front", false, 1, 900));
            List<VirtualNode> nodes = service("front", 1, 3, 4, Map.of("/entry/", new Work(300 * MILLI, List.of())));
            fleet.runUntil(3 * SECOND);
            for (int i = 0; i < 6; i++) {
                send(nodes.getFirst(), "r" + i, "/entry/");
            }
            fleet.runUntil(3 * SECOND + 50 * MILLI);
            nodes.getFirst().deliver(new FleetEvent.StopRequested());
            assertFalse(nodes.getFirst().ready);
            fleet.runUntil(7 * SECOND);
            assertEquals(6, good("r"));
            assertTrue(nodes.getFirst().stopped);
        }
    }

    @Nested
    class Silence {

        private static final int SLOTS = 4;

        private VirtualNode silentCopy() {
            fleet.configure(route("/entry/", "front", false, 1, 5000));
            VirtualNode node = service("front", 1, 1, SLOTS, Map.of("/entry/", new Work(10 * MILLI, List.of())))
                    .getFirst();
            fleet.runUntil(3 * SECOND);
            node.silent = true;
            for (int i = 0; i < 3 * SLOTS; i++) {
                fleet.send(node, "r" + i, "/entry/", 5 * SECOND, (_, outcome) -> outcomes.put("old", outcome));
            }
            fleet.runUntil(4 * SECOND);
            return node;
        }

        /*
         * A copy never answers a request for which it has no free slot, nor any later request on that connection. It
         * must never get more requests than it has slots, however many wait.
         */
        @Test
        void ofACopyGetsItNoMoreThanItsSlots() {
            silentCopy();
            assertEquals(SLOTS, fleet.runs.size());
        }

        /*
         * Guards against a copy that loses power with running requests and restarts under its name, while its node
         * waits for the previous process until the deadlines, with all slots taken. The running requests become unknown
         * at once, since they may have run, and the waiting ones go to the new process.
         */
        @Test
        void ofACopyEndsWhenItRestartsUnderItsName() {
            VirtualNode node = silentCopy();
            node.restartCopy();
            fleet.runUntil(4 * SECOND + 900 * MILLI);
            assertEquals(3 * SLOTS, fleet.runs.size());
            send(node, "new", "/entry/");
            fleet.runUntil(6 * SECOND);
            assertEquals(1, good("new"));
            assertTrue(outcomes.get("old") instanceof Outcome.Answered, "the waiting requests ran at the new process");
        }
    }

    @Nested
    class AtMostOnce {

        /*
         * Guards against a second run when the node of the copy that runs a non-idempotent request is killed. The
         * request may have run: it must not be sent to another copy, and must not be answered with "not run".
         */
        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
        void holdsWhereNodesAreKilledAndAnswersLost(long seed) {
            VirtualFleet seeded = new VirtualFleet(seed);
            seeded.answerLost = 20;
            seeded.configure(route("/entry/", "front", false, 1, 900));
            List<VirtualNode> nodes = new ArrayList<>();
            for (int i = 1; i <= 5; i++) {
                VirtualNode node = seeded.add("front", "10.0.0." + i, "zone-" + i % 3, 6);
                node.works.put("/entry/", new Work(60 * MILLI, List.of()));
                nodes.add(node);
            }
            seeded.runUntil(3 * SECOND);
            Map<String, Outcome> answers = new HashMap<>();
            for (int i = 0; i < 1500; i++) {
                String name = "bill-" + i;
                VirtualNode entry = nodes.get(i % nodes.size());
                seeded.at(
                        3 * SECOND + i * 4 * MILLI,
                        () -> seeded.send(entry, name, "/entry/", SECOND, (_, outcome) -> answers.put(name, outcome)));
            }
            for (int i = 0; i < 5; i++) {
                VirtualNode victim = nodes.get(seeded.random.nextInt(nodes.size()));
                long when = 4 * SECOND + seeded.random.nextLong(4 * SECOND);
                seeded.at(when, victim::kill);
                seeded.at(when + 400 * MILLI, victim::restart);
            }
            seeded.runUntil(12 * SECOND);
            Map<String, Integer> counts = new TreeMap<>();
            seeded.runs.forEach(run -> counts.merge(run.requestName(), 1, Integer::sum));
            counts.forEach((name, count) -> assertEquals(1, count, name));
            answers.forEach((name, outcome) ->
                    assertFalse(outcome instanceof Outcome.NotRun && counts.containsKey(name), name));
            assertTrue(answers.values().stream().filter(Outcomes::isGood).count() > 1000);
        }
    }

    @Nested
    class Overload {

        /*
         * Guards against refusing calls deep in the chain. Each lookup makes eight calls at the service with the fewest
         * slots, and each issuance makes four. If one call in ten is refused there, hardly any lookup completes, and
         * issuances fail too. Lookups must be refused at the entry, issuances not at all, and nearly all slots must
         * contribute to completed requests.
         */
        @Test
        void refusesTheLeastImportantAtTheEntryAndWastesNothing() {
            fleet.configure(
                    route("/lookup/", "front", true, 2, 900),
                    route("/issue/", "front", false, 0, 900),
                    route("/deep/", "back", true, 2, 700));
            List<String> eight =
                    List.of("/deep/", "/deep/", "/deep/", "/deep/", "/deep/", "/deep/", "/deep/", "/deep/");
            List<VirtualNode> front = service(
                    "front",
                    1,
                    3,
                    80,
                    Map.of(
                            "/lookup/", new Work(30 * MILLI, eight),
                            "/issue/", new Work(30 * MILLI, eight.subList(0, 4))));
            service("back", 2, 3, 10, Map.of("/deep/", new Work(20 * MILLI, List.of())));
            fleet.runUntil(3 * SECOND);
            // 30 slots run 1,500 calls a second: all 60 issuances and 157 lookups. The 320 lookups are twice as many.
            long sent = 3 * SECOND;
            int seconds = 12;
            for (int i = 0; i < 320 * seconds; i++) {
                String name = "lookup-" + i;
                VirtualNode entry = front.get(i % 3);
                fleet.at(sent + i * SECOND / 320, () -> send(entry, name, "/lookup/"));
            }
            for (int i = 0; i < 60 * seconds; i++) {
                String name = "issue-" + i;
                VirtualNode entry = front.get(i % 3);
                fleet.at(sent + i * SECOND / 60, () -> send(entry, name, "/issue/"));
            }
            fleet.runUntil((4 + seconds) * SECOND);
            double lookups = good("lookup-") / (157.0 * seconds);
            double issuances = good("issue-") / (60.0 * seconds);
            assertTrue(issuances > 0.97, "issuances served: " + issuances);
            assertTrue(lookups > 0.8, "lookups served of those that fit: " + lookups);
        }
    }
}
