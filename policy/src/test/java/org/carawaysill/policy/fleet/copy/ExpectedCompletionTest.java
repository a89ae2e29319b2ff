package org.carawaysill.policy.fleet.copy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import org.carawaysill.model.fleet.CopyName;
import org.carawaysill.model.fleet.CopyRecord;
import org.carawaysill.model.fleet.Revision;
import org.carawaysill.model.identity.AvailabilityZone;
import org.carawaysill.model.identity.NetworkAddress;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.policy.fleet.placing.Placing;
import org.carawaysill.policy.fleet.placing.ServiceMeans;
import org.carawaysill.policy.fleet.placing.Way;
import org.carawaysill.policy.message.PeerMessage.CopyPace;
import org.carawaysill.policy.message.PeerMessage.LoadReport;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ExpectedCompletionTest {

    private static final int SLOTS = 8;
    private static final double RUN = 0.1;
    private static final long NOW = Duration.ofSeconds(5).toNanos();
    private static final double NO_AIM = Double.POSITIVE_INFINITY;

    private final List<Copy> copies = new ArrayList<>();
    private final List<Way> ways = new ArrayList<>();

    private Copy add(String name, Way way, Duration warmUpLeft) {
        Copy copy = new Copy(
                new CopyRecord(
                        new CopyName(name),
                        0,
                        0,
                        new ServiceName("deep"),
                        new NetworkAddress("10.0.0." + copies.size(), 80),
                        new AvailabilityZone("zone"),
                        SLOTS,
                        false,
                        warmUpLeft),
                NOW,
                new Revision(0, copies.size()));
        copies.add(copy);
        ways.add(way);
        return copy;
    }

    private Copy add(String name, Way way, int requests, double slowness) {
        Copy copy = add(name, way, Duration.ZERO);
        copy.receiveLoad(NOW, load(requests, RUN * slowness));
        copy.receiveWorkSeconds(RUN * slowness);
        return copy;
    }

    private static LoadReport load(int requests, double run) {
        int running = Math.min(SLOTS, requests);
        return new LoadReport(running, SLOTS, requests - running, 0, Optional.empty(), false, (float) run);
    }

    private ServiceMeans passMeansOn(long now) {
        ServiceMeans means = new ServiceMeans();
        means.begin(now);
        copies.forEach(copy -> means.add(copy.estimate(), copy.requestsThere()));
        for (int i = 0; i < copies.size(); i++) {
            means.passOn(now, copies.get(i).estimate(), ways.get(i), true);
        }
        return means;
    }

    private static Placing request(double crossing, double aimLeft, double deadlineLeft) {
        return request(RUN, crossing, aimLeft, deadlineLeft);
    }

    private static Placing request(double usual, double crossing, double aimLeft, double deadlineLeft) {
        return new Placing.EarliestCompletion(usual, 1, crossing, 4 * usual, aimLeft, deadlineLeft);
    }

    private Optional<Copy> choose(long now, Placing placing, long seed) {
        CopyChoice choice = new CopyChoice(
                new NodeName("10.0.0.99"), new AvailabilityZone("zone"), Set.of(), new SplittableRandom(seed));
        return choice.choose(now, placing, copies, Set.of(), false, 0, _ -> true);
    }

    private String chosen(Placing placing) {
        passMeansOn(NOW);
        return choose(NOW, placing, 3).orElseThrow().record().copy().value();
    }

    @Nested
    class Waits {

        @Test
        void countAsTimes() {
            add("slow", Way.OWN_ZONE, 12, 2);
            add("fast", Way.OWN_ZONE, 20, 0.5);
            assertEquals("fast", chosen(request(0, NO_AIM, NO_AIM)));
        }

        /* Guards against filling the only fast copy without end while a slow one has free slots. */
        @Test
        void areLongerThanTheWorkOfASlowCopyAtLast() {
            add("slow", Way.OWN_ZONE, 2, 1.5);
            add("fast", Way.OWN_ZONE, 40, 0.6);
            assertEquals("slow", chosen(request(0, NO_AIM, NO_AIM)));
        }

        /* Guards against flooding a copy of which nothing is known yet: it counts as full as the others. */
        @Test
        void areAssumedWhereNothingIsKnown() {
            add("known", Way.OWN_ZONE, 10, 1);
            add("full", Way.OWN_ZONE, 30, 1);
            Copy unknown = add("unknown", Way.OWN_ZONE, Duration.ZERO);
            assertEquals("known", chosen(request(0, NO_AIM, NO_AIM)));
            unknown.receiveLoad(NOW, load(0, RUN));
            assertEquals("unknown", chosen(request(0, NO_AIM, NO_AIM)));
        }
    }

    @Nested
    class Bytes {

        @Test
        void keepALargeBodyInItsZoneWhileTheWaitIsShort() {
            add("near", Way.OWN_ZONE, 9, 1);
            add("far", Way.OTHER_ZONE, 0, 1);
            assertEquals("near", chosen(request(0.25, NO_AIM, NO_AIM)));
            assertEquals("far", chosen(request(0.005, NO_AIM, NO_AIM)));
        }

        @Test
        void weighLessThanALongWait() {
            add("near", Way.OWN_ZONE, 40, 1);
            add("far", Way.OTHER_ZONE, 0, 1);
            assertEquals("far", chosen(request(0.25, NO_AIM, NO_AIM)));
        }
    }

    @Nested
    class Aims {

        /* Guards against missing an aim for the sake of bytes. */
        @Test
        void comeBeforeBytes() {
            add("near", Way.OWN_ZONE, 12, 1);
            add("far", Way.OTHER_ZONE, 0, 1);
            assertEquals("near", chosen(request(5, NO_AIM, NO_AIM)));
            assertEquals("far", chosen(request(5, 0.12, NO_AIM)));
        }

        @Test
        void comeAfterDeadlines() {
            add("near", Way.OWN_ZONE, 12, 1);
            add("far", Way.OTHER_ZONE, 0, 1);
            assertEquals("near", chosen(request(5, 0.01, NO_AIM)));
            assertEquals("far", chosen(request(5, 0.01, 0.12)));
        }
    }

    @Nested
    class Speed {

        /* Guards against an estimate that swings with a moment at which a copy works slower. */
        @Test
        void changesLittleByOneMeasurement() {
            Copy copy = add("copy", Way.OWN_ZONE, 0, 1);
            passMeansOn(NOW);
            for (int i = 0; i < 20; i++) {
                copy.estimate().measure(NOW + i, 1);
            }
            copy.estimate().measure(NOW + 20, 1e9);
            assertTrue(
                    copy.estimate().slowness() < 1.25,
                    "slowness " + copy.estimate().slowness());
        }

        @Test
        void returnsToTheUsualOnceNothingIsMeasured() {
            Copy copy = add("copy", Way.OWN_ZONE, 0, 1);
            for (int i = 0; i < 20; i++) {
                copy.estimate().measure(NOW + i, 3);
            }
            assertTrue(
                    copy.estimate().slowness() > 2.5,
                    "slowness " + copy.estimate().slowness());
            passMeansOn(NOW + Duration.ofSeconds(60).toNanos());
            assertTrue(
                    copy.estimate().slowness() < 1.05,
                    "slowness " + copy.estimate().slowness());
        }
    }

    @Nested
    class Starts {

        /* Guards against a step: a copy works slower at first, and less so with time. */
        @Test
        void areRamps() {
            Duration warmUp = Duration.ofSeconds(4);
            Copy cold = add("cold", Way.OWN_ZONE, warmUp);
            assertEquals(2, cold.slowdown(NOW, true), 1e-9);
            assertEquals(1.5, cold.slowdown(NOW + warmUp.toNanos() / 2, true), 1e-9);
            assertEquals(1, cold.slowdown(NOW + warmUp.toNanos(), true), 1e-9);
        }

        /*
         * Guards against work for a copy that is gone: its node was lost, another process of the copy has started cold,
         * and a report of the former one, idle and fast, arrives late.
         */
        @Test
        void areNotHurtByALateReportOfAnEarlierProcess() {
            CopyTable table = new CopyTable();
            CopyRecord former = recordOf(1000);
            Copy old = table.put(NOW, "key", former, new Revision(0, 1)).orElseThrow();
            for (int i = 0; i < 20; i++) {
                old.estimate().measure(NOW + i, 0.5);
            }
            Copy restarted = table.put(NOW + 100, "key", recordOf(2000), new Revision(0, 2))
                    .orElseThrow();
            assertNotEquals(old, restarted);
            assertEquals(1, restarted.estimate().slowness(), "nothing learned is carried over");
            copies.add(restarted);
            ways.add(Way.OWN_ZONE);
            add("sound", Way.OWN_ZONE, 2, 1);
            restarted.receiveLoad(NOW + 200, load(0, 0.001));
            restarted.receiveWorkSeconds(0.001);
            passMeansOn(NOW + 300);
            assertTrue(
                    restarted.estimate().slowness() >= 0.5,
                    "slowness " + restarted.estimate().slowness());
            restarted.receiveLoad(NOW + 400, load(16, 0.2));
            restarted.receiveWorkSeconds(0.2);
            passMeansOn(NOW + 400);
            assertEquals(
                    "sound",
                    choose(NOW + 400, request(0, NO_AIM, NO_AIM), 3)
                            .orElseThrow()
                            .record()
                            .copy()
                            .value());
        }

        private static CopyRecord recordOf(long startedAtMillis) {
            return new CopyRecord(
                    new CopyName("copy"),
                    startedAtMillis,
                    0,
                    new ServiceName("deep"),
                    new NetworkAddress("10.0.0.50", 80),
                    new AvailabilityZone("zone"),
                    SLOTS,
                    false,
                    Duration.ZERO);
        }
    }

    /** Whatever was reported, some reachable copy is chosen. */
    @Property(tries = 500, seed = "20261204")
    void choosesAReachableCopyForAnyReports(@ForAll Random random) {
        copies.clear();
        ways.clear();
        Set<NodeName> reachable = new java.util.HashSet<>();
        int count = 1 + random.nextInt(6);
        for (int i = 0; i < count; i++) {
            Copy copy = add("copy-" + i, Way.values()[random.nextInt(3)], Duration.ofMillis(random.nextInt(3000)));
            if (random.nextInt(4) > 0) {
                LoadReport load = new LoadReport(
                        any(random),
                        any(random),
                        any(random),
                        0,
                        random.nextBoolean()
                                ? Optional.of(new CopyPace(anyTime(random), anyTime(random), anyTime(random)))
                                : Optional.empty(),
                        random.nextBoolean(),
                        anyTime(random));
                if (random.nextBoolean()) {
                    copy.receiveLoad(NOW, load);
                } else {
                    copy.receiveRelayedLoad(NOW, load);
                }
                copy.receiveWorkSeconds(anyTime(random));
                copy.estimate().measure(NOW, anyTime(random));
            }
            if (random.nextBoolean()) {
                copy.sent();
            }
            if (random.nextBoolean()) {
                reachable.add(copy.node());
            }
        }
        passMeansOn(NOW + random.nextInt(1_000_000_000));
        CopyChoice choice = new CopyChoice(
                new NodeName("10.0.0.99"),
                new AvailabilityZone("zone"),
                Set.of(),
                new SplittableRandom(random.nextLong()));
        Placing placing = request(0.001 + random.nextDouble(), random.nextDouble(), random.nextDouble(), 1);
        Optional<Copy> chosen =
                choice.choose(NOW, placing, copies, Set.of(), random.nextBoolean(), 0, reachable::contains);
        assertEquals(!reachable.isEmpty(), chosen.isPresent());
        assertTrue(chosen.isEmpty() || reachable.contains(chosen.get().node()));
    }

    private static int any(Random random) {
        return switch (random.nextInt(4)) {
            case 0 -> 0;
            case 1 -> Integer.MAX_VALUE;
            default -> random.nextInt(100);
        };
    }

    private static float anyTime(Random random) {
        return switch (random.nextInt(5)) {
            case 0 -> 0;
            case 1 -> Float.MAX_VALUE;
            case 2 -> Float.POSITIVE_INFINITY;
            case 3 -> Float.MIN_VALUE;
            default -> random.nextFloat();
        };
    }

    /** Only the ratios of times count, apart from the way. */
    @Property(tries = 300, seed = "20261204")
    void isTheSameWhereAllAreSlowerAlike(
            @ForAll Random random, @ForAll @DoubleRange(min = 0.1, max = 10) double factor) {
        long seed = random.nextLong();
        assertEquals(chosenAt(1, seed), chosenAt(factor, seed));
    }

    private String chosenAt(double factor, long seed) {
        copies.clear();
        ways.clear();
        SplittableRandom random = new SplittableRandom(seed);
        for (int i = 0; i < 5; i++) {
            add("copy-" + i, Way.ANY, random.nextInt(30), factor * (0.3 + 2 * random.nextDouble()));
        }
        passMeansOn(NOW);
        return choose(NOW, request(factor * RUN, 0, NO_AIM, NO_AIM), seed)
                .orElseThrow()
                .record()
                .copy()
                .value();
    }
}
