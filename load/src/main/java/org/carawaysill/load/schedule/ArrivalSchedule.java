package org.carawaysill.load.schedule;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.carawaysill.load.site.LoadOperation;

/**
 * Draws the arrivals of a run from a Poisson process for each operation, whose rate depends on the phase. The same seed
 * gives the same arrivals under every policy.
 *
 * <p>Immutable and thread safe.
 *
 * @param rates the rates
 * @param seed the seed
 */
public record ArrivalSchedule(Rates rates, long seed) {

    private static final double NANOS_PER_SECOND = 1e9;

    /**
     * Draws all arrivals.
     *
     * @return the arrivals, ordered by time
     */
    public List<Arrival> draw() {
        SplittableRandom random = new SplittableRandom(seed);
        List<Arrival> arrivals = new ArrayList<>();
        double peak = rates.peakPerSecond();
        long at = gap(random, peak);
        while (at < rates.timeline().endNanos()) {
            addIfDrawn(arrivals, random, at, peak);
            at += gap(random, peak);
        }
        return arrivals;
    }

    // Thinning: candidates arrive at the peak rate; an operation takes one with the probability of its rate over the
    // peak.
    private void addIfDrawn(List<Arrival> arrivals, SplittableRandom random, long at, double peak) {
        double drawn = random.nextDouble() * peak;
        for (LoadOperation operation : rates.site().operations()) {
            drawn -= rates.perSecond(operation, at);
            if (drawn < 0) {
                arrivals.add(new Arrival(arrivals.size(), at, operation, random.nextLong()));
                return;
            }
        }
    }

    private static long gap(SplittableRandom random, double perSecond) {
        return (long) (random.nextExponential() / perSecond * NANOS_PER_SECOND);
    }
}
