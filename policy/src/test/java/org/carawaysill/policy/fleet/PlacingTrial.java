package org.carawaysill.policy.fleet;

import java.util.EnumSet;
import java.util.Set;
import java.util.stream.LongStream;
import org.carawaysill.policy.fleet.mechanism.Mechanism;
import org.junit.jupiter.api.Test;

class PlacingTrial {
    static void row(String name, Set<Mechanism> off, double factor, int others, int seeds) {
        double[][] all = LongStream.rangeClosed(1, seeds)
                .parallel()
                .mapToObj(seed -> {
                    UnevenSite site = new UnevenSite(seed, off, others);
                    site.offer(factor, 0, 20);
                    site.play(26);
                    return new double[] {
                        site.served(2, 9),
                        site.served("level", 2, 9),
                        site.served("count", 2, 9),
                        site.fleet.sentAcrossZones / (double) site.fleet.runs.size(),
                        site.tallies.values().stream()
                                .flatMap(b -> b.values().stream())
                                .mapToInt(t -> t.offered - t.inAim - t.failed)
                                .sum()
                    };
                })
                .toArray(double[][]::new);
        StringBuilder out = new StringBuilder("TRIAL " + name + " x" + factor + " others " + others);
        for (int i = 0; i < 5; i++) {
            double sum = 0;
            for (double[] a : all) sum += a[i];
            out.append(String.format(" %.3f", sum / seeds));
        }
        System.out.println(out);
    }

    @Test
    void trial() {
        String which = System.getProperty("trial", "both");
        int seeds = 4;
        for (int others : new int[] {2, 55}) {
            for (double factor : new double[] {0.86, 1.3}) {
                if (System.getenv("ONLYNEW") == null)
                    row("before", EnumSet.of(Mechanism.EXPECTED_COMPLETION), factor, others, seeds);
                row("new", Set.of(), factor, others, seeds);
            }
        }
    }
}
