package org.carawaysill.load.report;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.carawaysill.load.client.RequestRecord;
import org.carawaysill.load.client.TryResult;
import org.carawaysill.load.scenario.Scenario;
import org.carawaysill.load.scenario.Window;
import org.carawaysill.load.schedule.Arrival;
import org.carawaysill.load.site.SmallSite;
import org.junit.jupiter.api.Test;

class SlotUseTest {

    private static final long MILLISECOND = 1_000_000;
    private static final Window TRIGGER = new Window(1000 * MILLISECOND, 2000 * MILLISECOND);

    private static double ratio(long sentMilliseconds, long finishedMilliseconds, Scenario scenario) {
        Arrival arrival = new Arrival(0, sentMilliseconds * MILLISECOND, SmallSite.operation("lookup"), 1);
        RequestRecord request = new RequestRecord(
                arrival, "trace", 0, List.of(new TryResult.Whole()), finishedMilliseconds * MILLISECOND);
        return new SlotUse(SmallSite.read(), scenario, List.of(TRIGGER)).ratio(List.of(request));
    }

    @Test
    void weighsARequestByTheTimeForWhichItHeldASlot() {
        assertEquals(0.2 / 4, ratio(1100, 1400, Scenario.BOTH), 1e-9);
        assertEquals(0.04 / 4, ratio(1100, 1400, Scenario.SURGE), 1e-9);
    }

    @Test
    void countsOnlyTheTimeInsideTheTrigger() {
        assertEquals(0.1 / 4, ratio(1700, 2100, Scenario.BOTH), 1e-9);
        assertEquals(0.01 / 4, ratio(950, 1010, Scenario.BOTH), 1e-9);
    }

    @Test
    void leavesOutTheSlotsOfACopyThatIsDown() {
        assertEquals(0.2 / 2, ratio(1100, 1400, Scenario.KILL), 1e-9);
    }
}
