package org.carawaysill.policy.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.stream.LongStream;
import org.approvaltests.Approvals;
import org.carawaysill.policy.routing.VirtualCopies.Result;
import org.carawaysill.policy.routing.VirtualCopies.Trouble;
import org.junit.jupiter.api.Test;

/**
 * Compares strategies for choosing a copy under the same seeds: 24 or 240 callers and 12 copies with 10 slots each in 3
 * zones, and a mean service time of 50 ms.
 */
class BalancingComparisonTest {

    private static final Duration DURATION = Duration.ofSeconds(8);
    private static final long[] SEEDS = {1, 2};

    @Test
    void figuresOfTheDecisionRecord() {
        List<String> rows = new ArrayList<>();
        rows.add("trouble                     load  callers  way                      mean ms   p99 ms  other zone");
        for (int callers : new int[] {24, 240}) {
            compare(rows, Trouble.NONE, 0.5, callers);
            compare(rows, Trouble.NONE, 0.9, callers);
            compare(rows, Trouble.MOST_CALLERS_IN_ONE_ZONE, 0.7, callers);
            compare(rows, Trouble.ONE_COPY_FIVE_TIMES_SLOWER, 0.7, callers);
            compare(rows, Trouble.ONE_COPY_COLD, 0.7, callers);
        }
        Approvals.verify(String.join("\n", rows));
    }

    private static void compare(List<String> rows, Trouble trouble, double load, int callers) {
        for (Balancer.Kind kind : Balancer.Kind.values()) {
            List<Result> results = LongStream.of(SEEDS)
                    .mapToObj(seed -> new VirtualCopies(trouble, load, callers, seed).run(kind, DURATION))
                    .toList();
            rows.add(String.format(
                    Locale.ROOT,
                    "%-26s  %.2f  %7d  %-22s  %8.1f  %7.1f  %9.0f%%",
                    trouble.name().toLowerCase(Locale.ROOT),
                    load,
                    callers,
                    kind.name().toLowerCase(Locale.ROOT),
                    results.stream().mapToDouble(Result::meanMillis).average().orElseThrow(),
                    results.stream().mapToDouble(Result::p99Millis).average().orElseThrow(),
                    100
                            * results.stream()
                                    .mapToDouble(Result::otherZone)
                                    .average()
                                    .orElseThrow()));
        }
    }
}
