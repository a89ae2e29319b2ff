package org.carawaysill.policy.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.policy.fleet.VirtualFleet.VirtualNode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Random scenarios in which the platform is repeatedly restored from older states, while nodes are refused by it,
 * killed and started, copies leave and come, and the configuration changes. {@code -Dreturns.seeds=400
 * -Dreturns.first=1} plays other seeds.
 */
class PlatformReturnDaysTest {

    private static final int SEEDS = Integer.getInteger("returns.seeds", 40);
    private static final int FIRST_SEED = Integer.getInteger("returns.first", 1);

    /** Guards against known state that depends on the order of revisions across a restore of the platform. */
    @Test
    void keepChangesInForceAndLeavingCopiesWithoutWork() {
        List<String> breaches = new ArrayList<>();
        for (int seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
            for (String breach : new Scenario(seed).play()) {
                breaches.add("seed " + seed + ": " + breach);
            }
        }
        assertEquals(List.of(), breaches);
    }

    /** Guards against a reader that started after a removal and takes an entry that the platform restored for a new copy. */
    @ParameterizedTest
    @ValueSource(ints = 1958)
    void keepLeavingCopiesWithoutWorkFromNodesThatStartLater(int seed) {
        assertEquals(List.of(), new Scenario(seed).play());
    }

    /** One scenario. Not thread safe. */
    private static final class Scenario {

        private static final long MILLI = VirtualFleet.MILLI;
        private static final long SECOND = 1000 * MILLI;
        private static final long BOUND = VirtualFleet.DRAIN_LIMIT.toNanos();

        /** How long a process that has just started may know only the restored older state. */
        private static final long IN_TOUCH_AFTER = 3 * SECOND;

        /** Entries written less than this before the platform becomes unavailable may have been read by no node. */
        private static final long READ_WITHIN = SECOND;

        /** An entry that is removed sooner after the platform's return may have lapsed meanwhile. */
        private static final long STABLE_AFTER = 3 * SECOND;

        private static final long START = 8 * SECOND;
        private static final long END = 34 * SECOND;
        private static final long QUIET_FROM = 26 * SECOND;
        private static final int NODES_OF_A_SERVICE = 6;
        private static final int SERVED_PERCENT = 97;

        /** Unless it gets more than its share, a copy gets about one of every twelve requests. */
        private static final long REQUESTS_APART = 4 * MILLI;

        private static final long FIRST_ERA = 100;

        private final VirtualFleet fleet;
        private final ChangingRoute route;
        private final SplittableRandom random;
        private final List<Version> versions = new ArrayList<>();
        private final Map<String, Long> leftAt = new HashMap<>();
        private final Map<String, Long> startedAt = new HashMap<>();
        private final Map<String, String> entryOf = new HashMap<>();
        private final Set<String> reported = new HashSet<>();
        private final List<String> breaches = new ArrayList<>();
        private final List<Absence> absences = new ArrayList<>();
        private long returns;
        private int sentInQuiet;
        private int servedInQuiet;

        private record Version(long ackedAt, String service) {}

        private record Absence(long from, long until) {}

        Scenario(int seed) {
            fleet = new VirtualFleet(seed);
            route = new ChangingRoute(fleet);
            random = new SplittableRandom(7919L * seed);
        }

        List<String> play() {
            for (int i = 0; i < NODES_OF_A_SERVICE; i++) {
                add(ChangingRoute.LEFT, i);
                add(ChangingRoute.RIGHT, 100 + i);
            }
            fleet.era = OptionalLong.of(FIRST_ERA);
            configure();
            scheduleReturns();
            scheduleChanges();
            scheduleLeaves();
            scheduleRefusedReads();
            scheduleRestarts();
            fleet.runUntil(START);
            sendRequests();
            check();
            return breaches;
        }

        private void add(String service, int index) {
            VirtualNode node = route.add(service, index, index, random.nextLong(ChangingRoute.HEARTBEAT));
            startedAt.put(node.name.value(), fleet.now);
        }

        private void configure() {
            route.configure();
            versions.add(new Version(fleet.now, route.service()));
        }

        private void scheduleReturns() {
            long at = START + 4 * SECOND + random.nextLong(2 * SECOND);
            while (at < QUIET_FROM - 3 * SECOND) {
                scheduleReturn(at);
                at += random.nextInt(3) == 0 ? 1200 * MILLI : 4 * SECOND + random.nextLong(4 * SECOND);
            }
        }

        private void scheduleReturn(long at) {
            long age = 500 * MILLI + random.nextLong(3500 * MILLI);
            long away = 100 * MILLI + random.nextLong(900 * MILLI);
            absences.add(new Absence(at, at + away));
            route.returnOlder(at, age, away, () -> {
                fleet.era = nextEra();
                writeOthers(random.nextInt(2) * random.nextInt(400));
            });
            fleet.at(at + away + 300 * MILLI + random.nextLong(1200 * MILLI), this::writeAgain);
        }

        /** Returns mostly the next era; sometimes an unreadable one, an earlier one, or one far ahead. */
        private OptionalLong nextEra() {
            return switch (random.nextInt(6)) {
                case 0 -> OptionalLong.empty();
                case 1 -> OptionalLong.of(FIRST_ERA - ++returns);
                case 2 -> OptionalLong.of(FIRST_ERA + 1000 * ++returns);
                default -> OptionalLong.of(FIRST_ERA + ++returns);
            };
        }

        private void writeOthers(int count) {
            IntStream.range(0, count).forEach(i -> fleet.publish("other " + i, Optional.empty()));
        }

        /**
         * Makes the operator publish the newest configuration again; a version that no node can know counts from now
         * on.
         */
        private void writeAgain() {
            if (!fleet.platformDown) {
                route.writeAgain();
                versions.add(new Version(fleet.now, route.service()));
            }
        }

        private void scheduleChanges() {
            for (long at = START + SECOND; at < END; at += 2500 * MILLI + random.nextLong(SECOND)) {
                fleet.at(at, this::change);
            }
        }

        private void change() {
            if (!isAcknowledgedDurably(0)) {
                fleet.at(fleet.now + 100 * MILLI, this::change);
                return;
            }
            route.change();
            versions.add(new Version(fleet.now, route.service()));
        }

        /** Returns whether the platform is available, and nodes have time to read what is written now. */
        private boolean isAcknowledgedDurably(long sinceReturn) {
            return absences.stream()
                    .noneMatch(absence ->
                            fleet.now > absence.from() - READ_WITHIN && fleet.now < absence.until() + sinceReturn);
        }

        private void scheduleLeaves() {
            List<VirtualNode> nodes = List.copyOf(fleet.nodes.values());
            for (int i = 0; i < 4; i++) {
                VirtualNode node = nodes.get(i);
                boolean announced = random.nextBoolean();
                fleet.at(START + SECOND + random.nextLong(QUIET_FROM - START), () -> leave(node, announced));
            }
        }

        /** Removes a copy from service, by announcing it or by removing its entry. */
        private void leave(VirtualNode node, boolean announced) {
            if (!isAcknowledgedDurably(announced ? 0 : STABLE_AFTER)) {
                fleet.at(fleet.now + 200 * MILLI, () -> leave(node, announced));
                return;
            }
            if (announced) {
                node.publish(true);
            } else {
                node.unpublish();
            }
            leftAt.put(node.copy(), fleet.now);
        }

        private void scheduleRefusedReads() {
            List<VirtualNode> nodes = List.copyOf(fleet.nodes.values());
            int turn = random.nextInt(ChangingRoute.ZONES + 1);
            long from = START + random.nextLong(6 * SECOND);
            long until = Math.min(QUIET_FROM, from + 3 * SECOND + random.nextLong(10 * SECOND));
            List<VirtualNode> refused = IntStream.range(0, nodes.size())
                    .filter(i -> i % (ChangingRoute.ZONES + 1) == turn)
                    .mapToObj(nodes::get)
                    .toList();
            fleet.at(from, () -> refused.forEach(node -> node.readable = false));
            fleet.at(until, () -> refused.forEach(node -> node.readable = true));
        }

        private void scheduleRestarts() {
            List<VirtualNode> nodes = List.copyOf(fleet.nodes.values());
            for (int i = 0; i < 6; i++) {
                VirtualNode node = nodes.get(random.nextInt(nodes.size()));
                long at = START + random.nextLong(QUIET_FROM - START);
                fleet.at(at, () -> kill(node));
            }
        }

        private void kill(VirtualNode node) {
            if (node.alive) {
                node.kill();
                startedAt.put(node.name.value(), Long.MAX_VALUE);
                fleet.at(fleet.now + 200 * MILLI, () -> {
                    startedAt.put(node.name.value(), fleet.now);
                    node.restart();
                });
            }
        }

        private void sendRequests() {
            List<VirtualNode> nodes = List.copyOf(fleet.nodes.values());
            for (int i = 0; fleet.now < END; i++) {
                VirtualNode entry = nodes.get(i % nodes.size());
                String name = "request " + i;
                if (fleet.now - startedAt.get(entry.name.value()) >= IN_TOUCH_AFTER) {
                    entryOf.put(name, entry.name.value());
                }
                boolean quiet = fleet.now > QUIET_FROM + 4 * SECOND;
                sentInQuiet += quiet ? 1 : 0;
                fleet.send(entry, name, ChangingRoute.PATH, SECOND, (_, outcome) -> {
                    if (quiet && outcome instanceof Outcome.Answered) {
                        servedInQuiet++;
                    }
                });
                fleet.runUntil(fleet.now + REQUESTS_APART);
            }
            fleet.runUntil(END + 2 * SECOND);
        }

        private void check() {
            for (VirtualFleet.Run run : fleet.runs) {
                if (entryOf.containsKey(run.requestName())) {
                    check(run);
                }
            }
            if (servedInQuiet * 100L < sentInQuiet * (long) SERVED_PERCENT) {
                breaches.add("served " + servedInQuiet + " of " + sentInQuiet + " at the end");
            }
        }

        private void check(VirtualFleet.Run run) {
            String of = route.serviceOf(run);
            if (!allowed(run.at()).contains(of) && reported.add("version")) {
                breaches.add("run by an older configuration at " + run.at() / MILLI + " from "
                        + entryOf.get(run.requestName()));
            }
            Long left = leftAt.get(run.copy());
            if (left != null && run.at() > left + BOUND && reported.add(run.copy())) {
                breaches.add(run.copy() + " left at " + left / MILLI + " and got work at " + run.at() / MILLI + " from "
                        + entryOf.get(run.requestName()));
            }
        }

        /**
         * Returns the service of the newest version that must be in force at a moment, and those of all newer versions.
         */
        private Set<String> allowed(long at) {
            Set<String> allowed = new HashSet<>();
            for (Version version : versions) {
                if (version.ackedAt() <= at - BOUND) {
                    allowed.clear();
                }
                if (version.ackedAt() <= at) {
                    allowed.add(version.service());
                }
            }
            return allowed;
        }
    }
}
