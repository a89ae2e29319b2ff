package org.carawaysill.load.report;

import java.util.List;
import org.carawaysill.load.client.RequestRecord;
import org.carawaysill.load.scenario.Scenario;
import org.carawaysill.load.scenario.Trigger.CopyDown;
import org.carawaysill.load.scenario.Window;
import org.carawaysill.load.site.Site;

/**
 * How much of the bottleneck's slots whole requests used during the triggers. It weighs each request by the time for which
 * it holds a slot, so that a policy gains nothing by preferring requests that cost little.
 *
 * <p>Immutable and thread safe.
 *
 * @param site the site
 * @param scenario what was played
 * @param triggers when something was wrong
 */
record SlotUse(Site site, Scenario scenario, List<Window> triggers) {

    private static final double NANOS_PER_MILLISECOND = 1e6;

    double ratio(List<RequestRecord> records) {
        double used = 0;
        double available = 0;
        for (Window trigger : triggers) {
            used += records.stream()
                    .filter(RequestRecord::whole)
                    .mapToDouble(request -> usedNanos(request, trigger))
                    .sum();
            available += (double) slots() * (trigger.endNanos() - trigger.startNanos());
        }
        return used / available;
    }

    private int slots() {
        int slots = site.bottleneckSlots();
        return scenario.triggers().contains(new CopyDown())
                ? slots
                        - site.copiesOf(site.bottleneck().service())
                                .getFirst()
                                .service()
                                .slots()
                : slots;
    }

    // The request held its slot for the last part of the time up to its answer; what lies inside the trigger counts.
    private double usedNanos(RequestRecord request, Window trigger) {
        double normal = site.holdMilliseconds(request.arrival().operation(), 1) * NANOS_PER_MILLISECOND;
        double slowed =
                site.holdMilliseconds(request.arrival().operation(), scenario.slowdown()) * NANOS_PER_MILLISECOND;
        boolean startedBefore = request.arrival().atNanos() < trigger.startNanos();
        double hold = startedBefore ? normal : slowed;
        double from = Math.max(trigger.startNanos(), request.finishedNanos() - hold);
        double until = Math.min(trigger.endNanos(), request.finishedNanos());
        return Math.max(0, until - from);
    }
}
