package org.carawaysill.load.schedule;

import java.util.HashMap;
import java.util.Map;
import org.carawaysill.load.scenario.Scenario;
import org.carawaysill.load.scenario.Timeline;
import org.carawaysill.load.site.LoadOperation;
import org.carawaysill.load.site.Site;

/**
 * How often each operation is asked for. The rate climbs during the first half of the warm-up, so that processes that have
 * compiled little yet don't start with an overload of their own. In a surge only the operations that surge grow, so that
 * the others keep fitting what the bottleneck serves.
 *
 * <p>Immutable and thread safe.
 */
public final class Rates {

    private static final double NORMAL_UTILISATION = 0.7;
    private static final double FIRST_SHARE = 0.1;

    private final Site site;
    private final Timeline timeline;
    private final double normalPerSecond;
    private final Map<LoadOperation, Double> normal = new HashMap<>();
    private final Map<LoadOperation, Double> triggered = new HashMap<>();

    /**
     * Works the rates out.
     *
     * @param site the site
     * @param scenario what the run plays
     * @param timeline the phases
     */
    public Rates(Site site, Scenario scenario, Timeline timeline) {
        this.site = site;
        this.timeline = timeline;
        this.normalPerSecond = site.capacityPerSecond() * NORMAL_UTILISATION;
        double surging = scenario.surgeFactor().map(this::surgingMultiple).orElse(1.0);
        for (LoadOperation operation : site.operations()) {
            double perSecond = normalPerSecond * operation.share();
            normal.put(operation, perSecond);
            triggered.put(operation, operation.surges() ? perSecond * surging : perSecond);
        }
    }

    // What the operations that surge must grow by, so that the whole traffic is a multiple of what the bottleneck
    // serves.
    private double surgingMultiple(double factor) {
        double surging = site.operations().stream()
                .filter(LoadOperation::surges)
                .mapToDouble(LoadOperation::share)
                .sum();
        double total = factor / NORMAL_UTILISATION;
        return (total - (1 - surging)) / surging;
    }

    /**
     * Gives the site.
     *
     * @return the site
     */
    public Site site() {
        return site;
    }

    /**
     * Gives the phases.
     *
     * @return the phases
     */
    public Timeline timeline() {
        return timeline;
    }

    /**
     * Gives the normal rate of the whole traffic.
     *
     * @return requests a second
     */
    public double normalPerSecond() {
        return normalPerSecond;
    }

    /**
     * Gives the rate of one operation.
     *
     * @param operation the operation
     * @param atNanos nanoseconds from the run's start
     * @return requests a second
     */
    public double perSecond(LoadOperation operation, long atNanos) {
        Map<LoadOperation, Double> rates = timeline.triggered(atNanos) ? triggered : normal;
        return rates.getOrDefault(operation, 0.0) * warmUpShare(atNanos);
    }

    /**
     * Gives the highest rate of the whole traffic.
     *
     * @return requests a second
     */
    public double peakPerSecond() {
        return site.operations().stream()
                .mapToDouble(operation -> triggered.getOrDefault(operation, 0.0))
                .sum();
    }

    private double warmUpShare(long atNanos) {
        double climbed = 2.0 * atNanos / timeline.warmUp().endNanos();
        return Math.min(1, FIRST_SHARE + (1 - FIRST_SHARE) * climbed);
    }
}
