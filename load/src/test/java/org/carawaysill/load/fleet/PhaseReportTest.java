package org.carawaysill.load.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.Map;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PhaseReportTest {

    private static NodeReading node(double processorSeconds, double sent, double received) {
        return NodeReading.parse("""
                # TYPE carawaysill_processor_seconds counter
                carawaysill_processor_seconds_total %s
                carawaysill_resident_bytes 8.0E7
                carawaysill_peers{state="live"} 3.0
                carawaysill_link_bytes_total{direction="sent",kind="heartbeat"} %s
                carawaysill_link_bytes_total{direction="received",kind="heartbeat"} %s
                carawaysill_link_bytes_total{direction="sent",kind="request"} 0.0
                """.formatted(processorSeconds, sent, received));
    }

    private static PhaseReport tenSeconds() {
        Publications publications = new Publications();
        publications.published();
        publications.inForceAfter(250_000_000);
        FleetReading before = new FleetReading(0, List.of(node(1, 100, 100), node(2, 0, 0)), 10, 2);
        FleetReading after =
                new FleetReading(10_000_000_000L, List.of(node(1.1, 1_100, 1_100), node(2.3, 3_000, 1_000)), 40, 12);
        return PhaseReport.of("changes", before, after, publications);
    }

    @Nested
    class Readings {

        @Test
        void keepsTheKindsOfTrafficApart() {
            assertEquals(Map.of("heartbeat", 5.0, "request", 0.0), node(1, 5, 7).sentBytes());
            assertEquals(12, node(1, 5, 7).linkBytes("heartbeat"));
        }

        @Test
        void refusesMetricsWithoutAFigure() {
            assertThrows(IllegalArgumentException.class, () -> NodeReading.parse("carawaysill_resident_bytes 1.0"));
        }
    }

    @Nested
    class Rates {

        @Test
        void areRisesPerSecond() {
            PhaseReport report = tenSeconds();
            assertEquals(0.02, report.processorShareMean(), 1e-9);
            assertEquals(0.03, report.processorShareMax(), 1e-9);
            assertEquals(300, report.bytesPerSecondMean(), 1e-9);
            assertEquals(400, report.bytesPerSecondMax(), 1e-9);
            assertEquals(Map.of("heartbeat", 300.0), report.bytesPerSecondByKind());
            assertEquals(3, report.readsPerSecond(), 1e-9);
            assertEquals(1, report.watchesPerSecond(), 1e-9);
        }
    }

    @Test
    void isPrintedAsATable() {
        Approvals.verify(FleetTable.of(new FleetReport(2, 1, 1, 0.5, 7, 5, 0.25, List.of(tenSeconds()))));
    }
}
