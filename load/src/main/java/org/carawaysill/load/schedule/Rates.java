package org.carawaysill.load.schedule;

import org.carawaysill.load.scenario.Scenario;
import org.carawaysill.load.scenario.Timeline;
import org.carawaysill.load.site.LoadOperation;
import org.carawaysill.load.site.Site;

/**
 * How often each operation is asked for. The rate climbs during the first half of the warm-up, so that processes that have
 * compiled little yet don't start with an overload of their own. In a surge only the operations that surge grow, so that the others keep fitting
 * what the bottleneck serves.
 *
 * <p>Immutable and thread safe.
 *
 * @param site the site
 * @param scenario what the run plays
 * @param timeline the phases
 */
public record Rates(Site site, Scenario scenario, Timeline timeline) {

    private static final double NORMAL_UTILISATION = 0.7;
    private static final double FIRST_SHARE = 0.1;

    /**
     * Gives the normal rate of the whole traffic.
     *
     * @return requests a second
     */
    public double normalPerSecond() {
        return site.capacityPerSecond() * NORMAL_UTILISATION;
    }

    /**
     * Gives the rate of one operation.
     *
     * @param operation the operation
     * @param atNanos nanoseconds from the run's start
     * @return requests a second
     */
    public double perSecond(LoadOperation operation, long atNanos) {
        double normal = normalPerSecond() * operation.share() * warmUpShare(atNanos);
        return operation.surges() && timeline.triggered(atNanos) ? normal * surgeMultiple() : normal;
    }

    /**
     * Gives the highest rate of the whole traffic.
     *
     * @return requests a second
     */
    public double peakPerSecond() {
        return site.operations().stream()
                .mapToDouble(
                        operation -> normalPerSecond() * operation.share() * (operation.surges() ? surgeMultiple() : 1))
                .sum();
    }

    private double warmUpShare(long atNanos) {
        double climbed = 2.0 * atNanos / timeline.warmUp().endNanos();
        return Math.min(1, FIRST_SHARE + (1 - FIRST_SHARE) * climbed);
    }

    private double surgeMultiple() {
        return scenario.surgeFactor().map(this::surgeMultiple).orElse(1.0);
    }

    private double surgeMultiple(double factor) {
        double surging = site.operations().stream()
                .filter(LoadOperation::surges)
                .mapToDouble(LoadOperation::share)
                .sum();
        double total = factor / NORMAL_UTILISATION;
        return (total - (1 - surging)) / surging;
    }
}
