package org.carawaysill.policy.admission;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;
import org.carawaysill.policy.admission.ChainRun.Scenario;

/** Compares ways to set the admission cut, on the same seeds, in a chain of three services under overload. */
final class CutComparison {

    private static final int SEEDS = 11;
    private static final List<FakeChain.Hop> WIDE = List.of(
            new FakeChain.Hop("tracker", 4, 60, 10),
            new FakeChain.Hop("parties", 3, 80, 10),
            new FakeChain.Hop("manifests", 3, 10, 40));
    private static final List<FakeChain.Hop> TIGHT = List.of(
            new FakeChain.Hop("tracker", 4, 30, 10),
            new FakeChain.Hop("parties", 3, 30, 10),
            new FakeChain.Hop("manifests", 3, 10, 40));

    static final List<Scenario> SCENARIOS = List.of(
            new Scenario("surge, 300 callers", WIDE, 0.7, 2, 1, 300, 1000, 0),
            new Scenario("slow, 300 callers", WIDE, 0.7, 0.7, 5, 300, 1000, 0),
            new Scenario("both, 300 callers", WIDE, 0.7, 2, 5, 300, 1000, 0),
            new Scenario("both, 3 callers", WIDE, 0.7, 2, 5, 3, 1000, 0),
            new Scenario("both, 3 callers, deadline 600 ms", WIDE, 0.7, 2, 5, 3, 600, 0),
            new Scenario("both, 3 callers, deadline 2 s, calm 0.9", WIDE, 0.9, 2, 5, 3, 2000, 0),
            new Scenario("both, 300 callers, tight", TIGHT, 0.7, 2, 5, 300, 1000, 0),
            new Scenario("both, 300 callers, tight, shallow", TIGHT, 0.7, 2, 5, 300, 1000, 1000));

    private CutComparison() {}

    public static void main(String[] arguments) {
        Map<String, Supplier<AdmissionCut>> cuts = new TreeMap<>();
        cuts.put("forecast", ForecastCut::new);
        cuts.put("none", OtherCuts.NoCut::new);
        cuts.put("rate", OtherCuts.NoCut::new);
        cuts.put("step", OtherCuts.StepCut::new);
        cuts.put("price", OtherCuts.PriceCut::new);
        cuts.put("direct", OtherCuts.DirectCut::new);
        for (Scenario scenario : SCENARIOS) {
            System.out.println(scenario.name());
            cuts.forEach((name, cut) -> print(name, runs(scenario, name, cut)));
        }
    }

    private static List<ChainRun> runs(Scenario scenario, String name, Supplier<AdmissionCut> cut) {
        return IntStream.rangeClosed(1, SEEDS)
                .parallel()
                .mapToObj(seed -> {
                    ChainRun run =
                            new ChainRun(seed, scenario, () -> new CopyAdmission.Parts(new LearnedLimit(), cut.get()));
                    run.chain.entryRates = name.equals("rate");
                    return run.run();
                })
                .toList();
    }

    private static void print(String name, List<ChainRun> runs) {
        double[] recoveries = sorted(runs, ChainRun::recoverySeconds);
        System.out.printf(
                "  %-8s goodput %.3f (worst %.3f) recovery %.1f s (worst %.1f) important %.5f shallow %.3f"
                        + " wasted %.3f latency %.0f ms breaches %d%n",
                name,
                mean(runs, ChainRun::goodput),
                sorted(runs, ChainRun::goodput)[0],
                recoveries[SEEDS / 2],
                recoveries[SEEDS - 1],
                mean(runs, ChainRun::importantAnsweredShare),
                mean(runs, ChainRun::shallowAnsweredShare),
                mean(runs, ChainRun::wastedShare),
                mean(runs, ChainRun::meanLatencyMillis),
                runs.stream().mapToInt(run -> run.chain.breaches()).sum());
    }

    private static double[] sorted(List<ChainRun> runs, ToDoubleFunction<ChainRun> figure) {
        return runs.stream().mapToDouble(figure).sorted().toArray();
    }

    private static double mean(List<ChainRun> runs, ToDoubleFunction<ChainRun> figure) {
        return runs.stream().mapToDouble(figure).average().orElseThrow();
    }
}
