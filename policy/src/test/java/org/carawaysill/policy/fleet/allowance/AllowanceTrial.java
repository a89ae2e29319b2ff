package org.carawaysill.policy.fleet.allowance;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BiFunction;
import java.util.function.DoubleUnaryOperator;
import org.carawaysill.model.fleet.Allowance;
import org.carawaysill.model.fleet.Organisation;
import org.carawaysill.model.identity.OrganisationName;

/**
 * Simulates one organisation's requests at the nodes of a fleet in three availability zones, in virtual time; the nodes
 * exchange what they admitted as the policy's summaries do.
 *
 * <p>The seed determines everything that happens. Not thread safe.
 */
final class AllowanceTrial {

    static final AllowanceBounds BOUNDS = new AllowanceBounds(Duration.ofSeconds(5), 0.25, 20);

    private static final int ZONES = 3;
    private static final long MILLI = 1_000_000;
    private static final long SECOND = 1000 * MILLI;
    private static final long INTERVAL = 400 * MILLI;
    private static final double IMPATIENT = 0.4;
    private static final long SETTLED = 6 * SECOND;
    private static final long LISTED = 1100 * MILLI;

    private final SplittableRandom random;
    private final int nodeCount;
    private final Allowance allowance;
    private final BiFunction<Long, SplittableRandom, AllowanceMethod> method;
    private final AllowanceMethod[] nodes;
    private final int[] reported;
    private final long[] reportedNanos;
    private final int[] groupSum = new int[ZONES];
    private final int[] groupNodes = new int[ZONES];
    private final long[] groupNanos = new long[ZONES];
    private final boolean[] cut;
    private final boolean[] down;
    private final PriorityQueue<Timed> agenda = new PriorityQueue<>(Comparator.comparingLong(Timed::at));
    private final ArrayDeque<Long> admittedTimes = new ArrayDeque<>();
    private long now;
    private int worst;

    /**
     * The number of requests that one token bucket of the allowance, shared by all nodes without delay, would admit.
     */
    int expected;

    int admitted;
    private double bucket;
    private long bucketNanos;

    private record Timed(long at, Runnable action) {}

    /** The method that the nodes use. */
    enum Way {
        EVEN_SHARE,
        FOLLOWING_SHARE,
        FLEET_SUMS
    }

    AllowanceTrial(Way way, long seed, int nodeCount, Allowance allowance) {
        random = new SplittableRandom(seed);
        this.nodeCount = nodeCount;
        this.allowance = allowance;
        Organisation organisation =
                new Organisation(new OrganisationName("agents"), Set.of(), 0, Optional.of(allowance));
        method = (at, source) -> switch (way) {
            case EVEN_SHARE -> new AllowanceMethod.EvenShare(at, BOUNDS, allowance, nodeCount);
            case FOLLOWING_SHARE -> new AllowanceMethod.FollowingShare(at, BOUNDS, allowance, nodeCount);
            case FLEET_SUMS -> new AllowanceMethod.FleetSums(at, BOUNDS, organisation, nodeCount, source);
        };
        nodes = new AllowanceMethod[nodeCount];
        reported = new int[nodeCount];
        reportedNanos = new long[nodeCount];
        cut = new boolean[nodeCount];
        down = new boolean[nodeCount];
        bucket = allowance.burst();
        for (int i = 0; i < nodeCount; i++) {
            nodes[i] = method.apply(0L, random.split());
            int node = i;
            every(random.nextLong(INTERVAL), () -> report(node));
        }
        for (int zone = 0; zone < ZONES; zone++) {
            int of = zone;
            every(random.nextLong(INTERVAL), () -> sumUp(of));
        }
    }

    private void at(long time, Runnable action) {
        agenda.add(new Timed(time, action));
    }

    private void every(long from, Runnable action) {
        at(from, () -> {
            action.run();
            every(from + INTERVAL, action);
        });
    }

    private void report(int node) {
        if (!down[node] && !cut[node]) {
            reported[node] = nodes[node].report(now);
            reportedNanos[node] = now;
        }
    }

    private void sumUp(int zone) {
        int sum = 0;
        int count = 0;
        for (int node = zone; node < nodeCount; node += ZONES) {
            if (now - reportedNanos[node] <= LISTED && reportedNanos[node] > 0) {
                sum += reported[node];
                count++;
            }
        }
        groupSum[zone] = sum;
        groupNodes[zone] = count;
        groupNanos[zone] = now;
        int all = 0;
        int allNodes = 0;
        for (int each = 0; each < ZONES; each++) {
            all += groupSum[each];
            allNodes += groupNodes[each];
        }
        for (int node = zone; node < nodeCount; node += ZONES) {
            if (!down[node] && !cut[node] && allNodes > 0) {
                nodes[node].receive(now, all, allNodes);
            }
        }
    }

    /** Disconnects a share of the nodes from all others for a time. */
    AllowanceTrial cut(double share, double fromSecond, double untilSecond) {
        at((long) (fromSecond * SECOND), () -> {
            for (int node = 0; node < nodeCount; node++) {
                cut[node] = random.nextDouble() < share;
            }
        });
        at((long) (untilSecond * SECOND), () -> {
            for (int node = 0; node < nodeCount; node++) {
                cut[node] = false;
            }
        });
        return this;
    }

    /** Kills a share of the nodes; each starts again after a time, without its earlier state. */
    AllowanceTrial kill(double share, double atSecond, double downSeconds) {
        at((long) (atSecond * SECOND), () -> {
            for (int node = 0; node < nodeCount; node++) {
                if (random.nextDouble() < share) {
                    down[node] = true;
                    int which = node;
                    at(now + (long) (downSeconds * SECOND), () -> {
                        down[which] = false;
                        nodes[which] = method.apply(now, random.split());
                    });
                }
            }
        });
        return this;
    }

    /** Runs randomly arriving requests, in bunches of up to two, at a rate that changes with time. */
    AllowanceTrial play(DoubleUnaryOperator perSecond, double seconds) {
        double at = 0;
        double fastest = 0;
        for (double each = 0; each < seconds; each += 0.1) {
            fastest = Math.max(fastest, perSecond.applyAsDouble(each));
        }
        while (true) {
            at += -Math.log(1 - random.nextDouble()) / fastest;
            if (at >= seconds) {
                break;
            }
            if (random.nextDouble() < perSecond.applyAsDouble(at) / fastest) {
                at((long) (at * SECOND), this::arrive);
            }
        }
        while (!agenda.isEmpty() && agenda.peek().at() < seconds * SECOND) {
            Timed next = agenda.poll();
            now = next.at();
            next.action().run();
        }
        return this;
    }

    private void arrive() {
        int node = random.nextInt(nodeCount);
        if (down[node]) {
            return;
        }
        boolean counted = now >= SETTLED;
        bucket = Math.min(allowance.burst(), bucket + (now - bucketNanos) * allowance.perSecond() / SECOND);
        bucketNanos = now;
        if (bucket >= 1) {
            bucket--;
            expected += counted ? 1 : 0;
        }
        boolean abuser = random.nextDouble() < IMPATIENT;
        attempt(node, counted, abuser ? 3 : 1, abuser);
    }

    /**
     * Makes an attempt. Refused clients retry once after the time that they were given; impatient ones three times, at
     * once.
     */
    private void attempt(int node, boolean counted, int repeats, boolean abuser) {
        if (down[node]) {
            return;
        }
        if (nodes[node].admit(now)) {
            admitted += counted ? 1 : 0;
            admittedTimes.add(now);
            while (now - admittedTimes.peek() > BOUNDS.window().toNanos()) {
                admittedTimes.poll();
            }
            worst = Math.max(worst, admittedTimes.size());
        } else if (repeats > 0) {
            long wait = abuser ? 5 * MILLI : 200 * MILLI + random.nextLong(1200 * MILLI);
            at(now + wait, () -> attempt(node, counted, repeats - 1, abuser));
        }
    }

    /** Returns the maximum that was admitted within any window, as a part of what the bound allows. */
    double worstOfBound() {
        return worst / BOUNDS.maximum(allowance);
    }

    /** Returns the refused part of the requests that should be admitted. */
    double refusedBelow() {
        return expected == 0 ? 0 : Math.max(0, expected - admitted) / (double) expected;
    }

    /** Runs each scenario with each method and prints a table. */
    public static void main(String[] arguments) {
        List<String> rows = new ArrayList<>();
        for (int count : new int[] {58, 300, 3500}) {
            for (double rate : new double[] {4, 12, 40, 190}) {
                if (count == 3500 && rate < 12) {
                    continue;
                }
                for (Way way : Way.values()) {
                    rows.add(row(way, count, new Allowance(rate, rate)));
                }
            }
        }
        System.out.println(
                "nodes rate way; ref: refused part of the expected requests; all others: worst window as a part of the bound");
        rows.forEach(System.out::println);
    }

    private static String row(Way way, int count, Allowance allowance) {
        double usual = allowance.perSecond() / 1.6;
        DoubleUnaryOperator steady = _ -> usual;
        DoubleUnaryOperator busy = time -> time > 6 ? 1.7 * usual : usual;
        DoubleUnaryOperator hot = time -> time > 8 && time < 15 ? 7.5 * usual : usual;
        DoubleUnaryOperator stayingHot = time -> time > 8 ? 7.5 * usual : usual;
        int seeds = count > 1000 ? 2 : 8;
        double[] figures = new double[9];
        for (int seed = 1; seed <= seeds; seed++) {
            AllowanceTrial one = new AllowanceTrial(way, seed, count, allowance).play(steady, 20);
            figures[0] += one.refusedBelow() / seeds;
            AllowanceTrial two = new AllowanceTrial(way, seed, count, allowance).play(busy, 22);
            figures[1] += two.refusedBelow() / seeds;
            figures[2] = Math.max(figures[2], two.worstOfBound());
            figures[3] = Math.max(
                    figures[3],
                    new AllowanceTrial(way, seed, count, allowance)
                            .play(hot, 20)
                            .worstOfBound());
            figures[8] += new AllowanceTrial(way, seed, count, allowance)
                            .play(stayingHot, 30)
                            .refusedBelow()
                    / seeds;
            figures[4] = Math.max(
                    figures[4],
                    new AllowanceTrial(way, seed, count, allowance)
                            .cut(0.3, 10, 16)
                            .play(stayingHot, 22)
                            .worstOfBound());
            figures[5] = Math.max(
                    figures[5],
                    new AllowanceTrial(way, seed, count, allowance)
                            .kill(1, 12, 2)
                            .play(stayingHot, 22)
                            .worstOfBound());
            figures[6] = Math.max(
                    figures[6],
                    new AllowanceTrial(way, seed, count, allowance)
                            .kill(0.5, 12, 1.5)
                            .play(stayingHot, 22)
                            .worstOfBound());
            figures[7] += new AllowanceTrial(way, seed, count, allowance)
                            .cut(0.3, 6, 16)
                            .play(steady, 20)
                            .refusedBelow()
                    / seeds;
        }
        return String.format(
                "%5d %4.0f %-16s ref %.3f | ref %.3f w %.2f | hot %.2f | cut %.2f | kill %.2f | half %.2f | cutref %.3f | hotref %.3f",
                count,
                allowance.perSecond(),
                way,
                figures[0],
                figures[1],
                figures[2],
                figures[3],
                figures[4],
                figures[5],
                figures[6],
                figures[7],
                figures[8]);
    }
}
