package org.carawaysill.load.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.carawaysill.load.scenario.Scenario;
import org.carawaysill.load.scenario.Timeline;
import org.carawaysill.load.scenario.Window;
import org.carawaysill.load.site.LoadOperation;
import org.carawaysill.load.site.Site;
import org.carawaysill.load.site.SmallSite;
import org.junit.jupiter.api.Test;

class ArrivalScheduleTest {

    private static final double CAPACITY = 100;

    private final Site site = SmallSite.read();

    private Rates rates(Scenario scenario, int seconds) {
        return new Rates(site, scenario, Timeline.of(scenario, seconds));
    }

    @Property(seed = "1", tries = 100)
    void drawsTheSameArrivalsInOrderForTheSameSeed(
            @ForAll long seed, @ForAll @IntRange(min = 10, max = 40) int seconds) {
        Rates rates = rates(Scenario.TWICE, seconds);
        List<Arrival> arrivals = new ArrivalSchedule(rates, seed).draw();
        assertEquals(arrivals, new ArrivalSchedule(rates, seed).draw());
        for (int i = 1; i < arrivals.size(); i++) {
            assertTrue(arrivals.get(i - 1).atNanos() <= arrivals.get(i).atNanos());
        }
        assertTrue(arrivals.getLast().atNanos() < rates.timeline().endNanos());
    }

    @Test
    void sendsTwiceWhatTheBottleneckServesInASurgeAndNoMoreThatIsImportant() {
        Rates rates = rates(Scenario.SURGE, 1000);
        Window trigger = rates.timeline().triggers().getFirst();
        List<Arrival> inTrigger = new ArrivalSchedule(rates, 1)
                .draw().stream()
                        .filter(arrival -> trigger.contains(arrival.atNanos()))
                        .toList();
        long important = inTrigger.stream()
                .map(Arrival::operation)
                .filter(LoadOperation::important)
                .count();
        assertEquals(2 * CAPACITY, inTrigger.size() / trigger.seconds(), 0.05 * CAPACITY);
        assertEquals(0.07 * CAPACITY, important / trigger.seconds(), 0.01 * CAPACITY);
    }
}
