package org.carawaysill.load.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

class TimelineTest {

    @Property(seed = "1", tries = 200)
    void leavesNoGapBetweenPhases(@ForAll Scenario scenario, @ForAll @IntRange(min = 10, max = 600) int seconds) {
        Timeline timeline = Timeline.of(scenario, seconds);
        long at = timeline.warmUp().endNanos();
        assertEquals(at, timeline.steady().startNanos());
        at = timeline.steady().endNanos();
        for (int i = 0; i < scenario.repetitions(); i++) {
            for (Window window : Stream.of(
                            timeline.triggers().get(i), timeline.recoveries().get(i))
                    .toList()) {
                assertEquals(at, window.startNanos());
                at = window.endNanos();
            }
        }
        assertEquals(seconds, at / 1e9, 1e-6);
    }
}
