package org.carawaysill.load.schedule;

import java.util.HashMap;
import java.util.Map;
import org.carawaysill.load.scenario.Scenario;
import org.carawaysill.load.scenario.Timeline;
import org.carawaysill.load.site.LoadOperation;
import org.carawaysill.load.site.Site;

/**
 * The request rate of each operation. The rates rise during the first half of the warm-up, so that processes whose code
 * is not yet compiled are not overloaded at the start. A surge raises the rates of the surging operations only, so that
 * the other operations alone still fit the bottleneck's capacity.
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
     * Computes the rates.
     *
     * @param site the site
     * @param scenario the scenario of the run
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

    // Returns the factor on the surging operations by which the whole traffic becomes the given multiple of the
    // bottleneck's capacity.
    private double surgingMultiple(double factor) {
        double surging = site.operations().stream()
                .filter(LoadOperation::surges)
                .mapToDouble(LoadOperation::share)
                .sum();
        double total = factor / NORMAL_UTILISATION;
        return (total - (1 - surging)) / surging;
    }

    /**
     * Returns the site.
     *
     * @return the site
     */
    public Site site() {
        return site;
    }

    /**
     * Returns the phases.
     *
     * @return the phases
     */
    public Timeline timeline() {
        return timeline;
    }

    /**
     * Returns the normal rate of the whole traffic.
     *
     * @return requests a second
     */
    public double normalPerSecond() {
        return normalPerSecond;
    }

    /**
     * Returns the rate of one operation.
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
     * Returns the peak rate of the whole traffic.
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
