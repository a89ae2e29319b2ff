package org.carawaysill.policy.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.stream.LongStream;
import org.carawaysill.model.request.CopyNotice;
import org.carawaysill.model.request.CopyNotice.Rate;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.policy.fleet.VirtualFleet.VirtualNode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Plays random days on which copies name, change and drop limits of requests per second while nodes are restarted and
 * links between them are reset.
 *
 * <p>{@code -Dlimits.seeds=400 -Dlimits.first=1000} plays more of them.
 */
class CopyLimitDaysTest {

    private static final long MILLI = VirtualFleet.MILLI;
    private static final long SECOND = 1000 * MILLI;
    private static final long BEGIN = 6 * SECOND;
    private static final long END = 30 * SECOND;
    private static final long DRAINED = END + 8 * SECOND;
    private static final long CLIENT_TIMEOUT = 4 * SECOND;
    private static final long SETTLING = 3 * SECOND;
    private static final long KNOWN_AFTER = SECOND / 2;
    private static final long WINDOW = 4 * SECOND;
    private static final String DIRECT = "/direct/";
    private static final String CHAIN = "/chain/";
    private static final double NO_LIMIT = Double.POSITIVE_INFINITY;

    static LongStream seeds() {
        long first = Long.getLong("limits.first", 1);
        return LongStream.range(first, first + Integer.getInteger("limits.seeds", 24));
    }

    /* Guards against a request that uses up its sends at limited copies while another copy has free slots. */
    @Test
    void aRequestThatLimitedCopiesSendBackReachesTheCopyWithRoom() {
        Day day = new Day(3657);
        day.play();
        assertEquals(List.of(), day.breaches());
    }

    /* Guards against a sequence of limits, restarts and lost links in which a copy gets more than it names. */
    @ParameterizedTest
    @MethodSource("seeds")
    void noCopyGetsMoreThanItNames(long seed) {
        Day day = new Day(seed);
        day.play();
        assertEquals(List.of(), day.breaches());
    }

    /** One random day. Not thread safe. */
    private static final class Day {

        private final SplittableRandom random;
        private final VirtualFleet fleet;
        private final List<VirtualNode> copies = new ArrayList<>();
        private final List<VirtualNode> nodes = new ArrayList<>();
        private final Map<VirtualNode, NavigableMap<Long, Double>> limits = new HashMap<>();
        private final Map<String, Integer> outcomes = new TreeMap<>();
        private final long workNanos;
        private final boolean roomy;
        private final boolean disturbed;
        private final double perSecond;
        private int requests;

        Day(long seed) {
            random = new SplittableRandom(seed);
            fleet = new VirtualFleet(seed);
            workNanos = (long) (10 * MILLI * Math.pow(60, random.nextDouble()));
            roomy = random.nextBoolean();
            disturbed = random.nextInt(3) > 0;
            int slots = random.nextInt(4, 65);
            int count = random.nextInt(3, 7);
            fleet.configure(
                    Routes.route(DIRECT, "worker", random.nextBoolean(), 1, 4000, 1000),
                    Routes.route(CHAIN, "front", true, 0, 4000, 1000),
                    Routes.route("/called/", "worker", true, 1, 4000, 1000));
            for (int i = 0; i < count + 2; i++) {
                addNode(i < count ? "worker" : "front", i, i < count ? slots : 100);
            }
            int unlimited = roomy ? 1 : 0;
            double capacity = unlimited * slots * (double) SECOND / workNanos;
            perSecond = roomy ? Math.min(150, 0.4 * capacity) : random.nextInt(20, 150);
            copies.subList(unlimited, count).forEach(this::planLimits);
            if (disturbed) {
                planDisturbances();
            }
            planRequests();
        }

        private void addNode(String service, int number, int slots) {
            VirtualNode node =
                    fleet.add(service, "10." + number % 3 + ".0." + (number + 1), "zone-" + number % 3, slots);
            node.works.put(DIRECT, new Work(workNanos, 0.4, List.of()));
            node.works.put("/called/", new Work(workNanos, 0.4, List.of()));
            node.works.put(CHAIN, new Work(5 * MILLI, List.of("/called/a", "/called/b")));
            nodes.add(node);
            if (service.equals("worker")) {
                copies.add(node);
            }
        }

        private void planLimits(VirtualNode copy) {
            NavigableMap<Long, Double> plan = new TreeMap<>();
            long at = BEGIN + random.nextLong(6 * SECOND);
            for (int changes = random.nextInt(1, 4); changes > 0; changes--) {
                double limit = 0.2 * Math.pow(300, random.nextDouble());
                plan.put(at, limit);
                fleet.at(at, () -> copy.notice = new CopyNotice(new Rate.Limited(limit), false));
                at += 4 * SECOND + random.nextLong(8 * SECOND);
            }
            if (random.nextInt(3) == 0) {
                plan.put(at, NO_LIMIT);
                fleet.at(at, () -> copy.notice = CopyNotice.NONE);
            }
            limits.put(copy, plan);
        }

        private void planDisturbances() {
            for (int i = random.nextInt(1, 5); i > 0; i--) {
                VirtualNode node = nodes.get(random.nextInt(nodes.size()));
                long at = BEGIN + random.nextLong(END - BEGIN - 2 * SECOND);
                if (random.nextBoolean()) {
                    fleet.at(at, node::kill);
                    fleet.at(at + 200 * MILLI + random.nextLong(SECOND), () -> {
                        if (!node.alive) {
                            node.restart();
                        }
                    });
                } else {
                    VirtualNode other = nodes.get(random.nextInt(nodes.size()));
                    fleet.at(at, () -> fleet.resetLink(node, other));
                }
            }
        }

        private void planRequests() {
            double at = BEGIN;
            while (at < END) {
                at += -Math.log(1 - random.nextDouble()) * SECOND / perSecond;
                VirtualNode entry = nodes.get(random.nextInt(nodes.size()));
                String path = random.nextInt(4) == 0 ? CHAIN : DIRECT;
                fleet.at((long) at, () -> {
                    String name = "request-" + ++requests;
                    fleet.send(entry, name, path + name, CLIENT_TIMEOUT, (_, outcome) -> count(outcome));
                });
            }
        }

        private void count(Outcome outcome) {
            outcomes.merge(kind(outcome), 1, Integer::sum);
        }

        private static String kind(Outcome outcome) {
            return switch (outcome) {
                case Outcome.Answered _ -> Outcomes.isGood(outcome) ? "good" : "failed";
                case Outcome.NotRun notRun -> notRun.reason().name();
                case Outcome.Unknown _ -> "unknown";
            };
        }

        void play() {
            fleet.runUntil(DRAINED);
        }

        List<String> breaches() {
            List<String> breaches = new ArrayList<>();
            limits.forEach((copy, plan) -> checkWindows(copy, plan, breaches));
            if (roomy && !disturbed && outcomes.getOrDefault("good", 0) < requests) {
                breaches.add("not all served although a copy had room: " + outcomes);
            }
            return breaches;
        }

        private void checkWindows(VirtualNode copy, NavigableMap<Long, Double> plan, List<String> breaches) {
            List<Long> times = fleet.runs.stream()
                    .filter(run -> run.copy().equals(copy.copy()))
                    .map(VirtualFleet.Run::at)
                    .toList();
            int first = 0;
            for (int last = 0; last < times.size(); last++) {
                while (times.get(last) - times.get(first) > WINDOW) {
                    first++;
                }
                long until = times.get(last);
                double limit = highestLimit(plan, until - WINDOW, until);
                int count = last - first + 1;
                if (count > 1.5 * 4 * limit + 5) {
                    breaches.add(
                            copy.name + " got " + count + " in the 4 s until " + until / MILLI + " ms, limits " + plan);
                    return;
                }
            }
        }

        /** Returns the highest limit that nodes may go by in a span: a change counts once an answer has told it. */
        private double highestLimit(NavigableMap<Long, Double> plan, long from, long until) {
            if (from < plan.firstKey() + SETTLING) {
                return NO_LIMIT;
            }
            long known = KNOWN_AFTER + 4 * workNanos;
            double highest = plan.floorEntry(from - known) == null
                    ? plan.firstEntry().getValue()
                    : plan.floorEntry(from - known).getValue();
            for (double named : plan.subMap(from - known, true, until, true).values()) {
                highest = Math.max(highest, named);
            }
            return highest;
        }
    }
}
