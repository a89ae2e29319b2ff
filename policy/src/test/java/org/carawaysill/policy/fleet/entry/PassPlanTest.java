package org.carawaysill.policy.fleet.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.DoubleUnaryOperator;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.carawaysill.model.fleet.Destination;
import org.carawaysill.model.fleet.RequestKind;
import org.carawaysill.model.fleet.Route;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.policy.fleet.mechanism.Mechanism;
import org.carawaysill.policy.fleet.retry.RetrySettings;
import org.carawaysill.policy.fleet.route.MixedServices;
import org.carawaysill.policy.fleet.summary.RouteSums;
import org.carawaysill.policy.message.PeerMessage.LoadReport;
import org.carawaysill.policy.message.PeerMessage.NodeReport;
import org.carawaysill.policy.message.PeerMessage.RouteCost;
import org.carawaysill.policy.message.PeerMessage.RouteDemand;
import org.carawaysill.policy.message.PublishedState;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PassPlanTest {

    private static final ServiceName UPPER = new ServiceName("upper");
    private static final ServiceName DEEP = new ServiceName("deep");
    private static final String ORDER = "order";
    private static final String LOOKUP = "lookup";
    private static final String STATUS = "status";
    private static final String CALL = "call";
    private static final double CALL_SECONDS = 0.05;
    private static final int CALLS_OF_ORDER = 8;
    private static final int CALLS_OF_LOOKUP = 4;
    private static final double OFFERED = 50;
    private static final Map<String, Route> ROUTES = Map.of(
            ORDER, route(ORDER, UPPER, 0, 2000),
            LOOKUP, route(LOOKUP, UPPER, 2, 2000),
            STATUS, route(STATUS, DEEP, 2, 10_000),
            CALL, route(CALL, DEEP, 2, 700));
    private static final RetrySettings RETRIES = new RetrySettings(0.2, 48, Duration.ofSeconds(10));
    private static final MixedWork MIXED = new MixedWork(MixedServices.of(ROUTES.values()), RETRIES, _ -> OFFERED);

    private static Route route(String name, ServiceName service, int rank, long timeoutMillis) {
        return new Route(
                name,
                "fleet.example",
                "/",
                List.of(new Destination(service, 1)),
                RequestKind.READ,
                Duration.ofMillis(timeoutMillis),
                2,
                Duration.ofSeconds(1),
                rank,
                true);
    }

    private static NodeReport report(List<RouteDemand> demands, List<RouteCost> costs) {
        return new NodeReport(
                1,
                new PublishedState(0, 0),
                true,
                false,
                DEEP,
                new LoadReport(0, 8, 0, 0),
                0,
                true,
                true,
                demands,
                costs,
                List.of());
    }

    private static RouteSums sums(List<RouteDemand> demands, List<RouteCost> costs) {
        RouteSums sums = new RouteSums();
        sums.add(report(demands, costs));
        return sums;
    }

    private static List<RouteCost> costs() {
        return List.of(
                new RouteCost(ORDER, DEEP, (float) (CALLS_OF_ORDER * CALL_SECONDS)),
                new RouteCost(ORDER, UPPER, 0.2f),
                new RouteCost(LOOKUP, DEEP, (float) (CALLS_OF_LOOKUP * CALL_SECONDS)),
                new RouteCost(STATUS, DEEP, 0.7f),
                new RouteCost(CALL, DEEP, (float) CALL_SECONDS));
    }

    private static double share(EntryPlan plan, String route) {
        return plan.share(new DemandKey(route, 0));
    }

    /** A plan whose reports arrive some plans late, and copies that take a part of the tries that depends on them. */
    private static final class Loop {

        private final EntryPlan plan = new EntryPlan(Set.of());
        private final Deque<RouteSums> underway = new ArrayDeque<>();
        private final SplittableRandom random = new SplittableRandom(95);
        private final int delay;
        final List<Double> shares = new ArrayList<>();

        Loop(int delay) {
            this.delay = delay;
        }

        void run(int plans, DoubleUnaryOperator passed) {
            for (int i = 0; i < plans; i++) {
                double order = OFFERED * PassPlanTest.share(plan, ORDER);
                double lookup = OFFERED * PassPlanTest.share(plan, LOOKUP);
                double tries = CALLS_OF_ORDER * order + CALLS_OF_LOOKUP * lookup;
                double part = Math.clamp(passed.applyAsDouble(tries) + random.nextGaussian() * 0.02, 0, 1);
                underway.addLast(sums(
                        List.of(
                                demand(ORDER, order, order * Math.pow(part, CALLS_OF_ORDER)),
                                demand(LOOKUP, lookup, lookup * Math.pow(part, CALLS_OF_LOOKUP)),
                                new RouteDemand(CALL, 0, 0, 0, (float) tries, (float) (tries * part))),
                        costs()));
                if (underway.size() > delay) {
                    Map<ServiceName, ServiceLoad> loads =
                            Map.of(DEEP, new ServiceLoad(200, 50, 0), UPPER, new ServiceLoad(200, 50, 0));
                    plan.update(underway.removeFirst(), loads, ROUTES, MIXED);
                }
                shares.add(PassPlanTest.share(plan, ORDER));
            }
        }

        private static RouteDemand demand(String route, double admitted, double succeeded) {
            return new RouteDemand(route, 0, (float) OFFERED, (float) succeeded, (float) admitted, (float) succeeded);
        }

        double latest() {
            return shares.getLast();
        }

        /** Returns how often the share turned from falling to rising or back within the last plans. */
        int turns(int last) {
            int turns = 0;
            double direction = 0;
            for (int i = Math.max(1, shares.size() - last); i < shares.size(); i++) {
                double step = Math.signum(shares.get(i) - shares.get(i - 1));
                if (step != 0 && direction != 0 && step != direction) {
                    turns++;
                }
                direction = step != 0 ? step : direction;
            }
            return turns;
        }
    }

    @Nested
    class CopiesThatRejectForTheirOwnReasons {

        @Test
        void areNotSentChainsThatCannotComeOut() {
            for (int delay = 1; delay <= 4; delay++) {
                Loop loop = new Loop(delay);
                loop.run(20, _ -> 1);
                assertEquals(1, loop.latest(), 0.001);
                loop.run(30, _ -> 0.45);
                assertEquals(PassLimit.LEAST, loop.latest(), 0.001, "plans of delay " + delay);
                assertEquals(0, loop.turns(30), "plans of delay " + delay);
            }
        }

        /* Guards against refusing for seconds after the cause has gone. */
        @Test
        void getTheirChainsBackWithinThreePlansOfTheirReports() {
            for (int delay = 1; delay <= 4; delay++) {
                Loop loop = new Loop(delay);
                loop.run(20, _ -> 1);
                loop.run(30, _ -> 0.45);
                loop.run(delay + 3, _ -> 1);
                assertEquals(1, loop.latest(), 0.001, "plans of delay " + delay);
                loop.run(30, _ -> 1);
                assertEquals(0, loop.turns(30));
            }
        }
    }

    @Nested
    class CopiesThatRejectWhatIsTooMuch {

        /* Guards against shares that swing between the least and all, since reports are late. */
        @Test
        void settleNearWhatTheyTake() {
            double takes = 250;
            double all = (CALLS_OF_ORDER + CALLS_OF_LOOKUP) * OFFERED;
            for (int delay = 1; delay <= 4; delay++) {
                Loop loop = new Loop(delay);
                loop.run(120, tries -> Math.min(1, takes / Math.max(1, tries)));
                List<Double> last = loop.shares.subList(60, 120);
                double least = last.stream().mapToDouble(each -> each).min().orElseThrow();
                double greatest = last.stream().mapToDouble(each -> each).max().orElseThrow();
                double taken = takes / all;
                double mean = last.stream().mapToDouble(each -> each).average().orElseThrow();
                String range = least + " to " + greatest + ", mean " + mean + " at a delay of " + delay;
                assertTrue(least > 0.75 * taken && greatest < 2.1 * taken, range);
                assertTrue(mean > 1.2 * taken && mean < 1.8 * taken, range);
            }
        }
    }

    @Nested
    class RequestsForTheServiceItself {

        /** A request that its copy rejects has not run, and costs nothing above. */
        @Test
        void areNeverLimited() {
            EntryPlan plan = new EntryPlan(Set.of());
            for (int i = 0; i < 20; i++) {
                List<RouteDemand> demands =
                        List.of(new RouteDemand(STATUS, 0, 10, 4, 10, 4), new RouteDemand(CALL, 0, 0, 0, 100, 20));
                plan.update(sums(demands, costs()), Map.of(DEEP, new ServiceLoad(200, 50, 0)), ROUTES, MIXED);
            }
            assertEquals(1, share(plan, STATUS), 0.001);
        }
    }

    /** Returns random demands of one tick; {@code calls} tells whether tries of calls are among them. */
    private static List<RouteDemand> randomDemands(SplittableRandom random, boolean calls) {
        List<RouteDemand> demands = new ArrayList<>();
        for (String route : List.of(ORDER, LOOKUP, STATUS)) {
            float offered = (float) Math.exp(random.nextDouble(-3, 8));
            float admitted = offered * (float) random.nextDouble();
            demands.add(new RouteDemand(
                    route, random.nextInt(3), offered, admitted, admitted, admitted * (float) random.nextDouble()));
        }
        if (calls) {
            float tries = (float) Math.exp(random.nextDouble(-3, 9));
            demands.add(new RouteDemand(CALL, 0, 0, 0, tries, tries * (float) random.nextDouble()));
        }
        return demands;
    }

    private static Map<ServiceName, ServiceLoad> randomLoads(SplittableRandom random) {
        Map<ServiceName, ServiceLoad> loads = new HashMap<>();
        for (ServiceName service : List.of(UPPER, DEEP)) {
            if (random.nextInt(10) > 0) {
                loads.put(service, new ServiceLoad(random.nextInt(300), random.nextInt(300), random.nextInt(50)));
            }
        }
        return loads;
    }

    @Property(tries = 200, seed = "97")
    void givesSharesBetweenNothingAndAllForAnyReports(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        EntryPlan plan = new EntryPlan(Set.of());
        for (int i = 0; i < 30; i++) {
            plan.update(sums(randomDemands(random, random.nextBoolean()), costs()), randomLoads(random), ROUTES, MIXED);
            for (DemandKey key : plan.keys()) {
                double share = plan.share(key);
                assertTrue(share >= 0 && share <= 1, () -> key + " " + share);
            }
        }
    }

    /** Without a mixed service, and with both mechanisms off, each share is the same, whatever is reported. */
    @Property(tries = 100, seed = "98")
    void leavesOtherRoutesAsTheyWere(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        EntryPlan without = new EntryPlan(EnumSet.of(Mechanism.CALLER_SHARES, Mechanism.SUCCESS_SHARES));
        EntryPlan notMixed = new EntryPlan(Set.of());
        EntryPlan otherMixed = new EntryPlan(Set.of());
        Route shortRoute = route("short", new ServiceName("elsewhere"), 0, 100);
        Route longRoute = route("long", new ServiceName("elsewhere"), 0, 1000);
        MixedWork elsewhere = new MixedWork(MixedServices.of(List.of(shortRoute, longRoute)), RETRIES, _ -> 1000);
        MixedWork none = new MixedWork(MixedServices.NONE, RETRIES, _ -> 1000);
        for (int i = 0; i < 30; i++) {
            RouteSums sums = new RouteSums(_ -> true);
            sums.add(report(randomDemands(random, true), costs()));
            Map<ServiceName, ServiceLoad> loads = randomLoads(random);
            without.update(sums, loads, ROUTES, MIXED);
            notMixed.update(sums, loads, ROUTES, none);
            otherMixed.update(sums, loads, ROUTES, elsewhere);
            for (DemandKey key : without.keys()) {
                assertEquals(without.share(key), notMixed.share(key));
                assertEquals(without.share(key), otherMixed.share(key));
            }
        }
    }
}
