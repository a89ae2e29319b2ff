package org.carawaysill.load.report;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.carawaysill.load.client.RequestRecord;
import org.carawaysill.load.scenario.Scenario;
import org.carawaysill.load.scenario.Trigger.CopyDown;
import org.carawaysill.load.scenario.Window;
import org.carawaysill.load.site.LoadOperation;
import org.carawaysill.load.site.Site;

/**
 * Computes the share of the bottleneck's slot time that completely answered requests used during the triggers. Each
 * request is weighted by the time for which it holds a slot, so that a policy gains nothing by preferring cheap
 * requests.
 *
 * <p>Immutable and thread safe.
 */
final class SlotUse {

    private static final double NANOS_PER_MILLISECOND = 1e6;

    private final List<Window> triggers;
    private final int slots;
    private final Map<LoadOperation, Double> normalNanos = new HashMap<>();
    private final Map<LoadOperation, Double> slowedNanos = new HashMap<>();

    SlotUse(Site site, Scenario scenario, List<Window> triggers) {
        this.triggers = List.copyOf(triggers);
        this.slots = slots(site, scenario);
        for (LoadOperation operation : site.operations()) {
            normalNanos.put(operation, site.holdMilliseconds(operation, 1) * NANOS_PER_MILLISECOND);
            slowedNanos.put(operation, site.holdMilliseconds(operation, scenario.slowdown()) * NANOS_PER_MILLISECOND);
        }
    }

    private static int slots(Site site, Scenario scenario) {
        int all = site.bottleneckSlots();
        return scenario.triggers().contains(new CopyDown())
                ? all
                        - site.copiesOf(site.bottleneck().service())
                                .getFirst()
                                .service()
                                .slots()
                : all;
    }

    double ratio(List<RequestRecord> records) {
        double used = 0;
        double available = 0;
        for (Window trigger : triggers) {
            used += records.stream()
                    .filter(RequestRecord::whole)
                    .mapToDouble(request -> usedNanos(request, trigger))
                    .sum();
            available += (double) slots * (trigger.endNanos() - trigger.startNanos());
        }
        return used / available;
    }

    // Assumes that the request held its slot right before its answer, and counts the part inside the trigger.
    private double usedNanos(RequestRecord request, Window trigger) {
        boolean startedBefore = request.arrival().atNanos() < trigger.startNanos();
        Map<LoadOperation, Double> holds = startedBefore ? normalNanos : slowedNanos;
        double hold = holds.getOrDefault(request.arrival().operation(), 0.0);
        double from = Math.max(trigger.startNanos(), request.finishedNanos() - hold);
        double until = Math.min(trigger.endNanos(), request.finishedNanos());
        return Math.max(0, until - from);
    }
}
