package org.carawaysill.policy.detection;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Supplier;
import org.approvaltests.Approvals;
import org.carawaysill.policy.detection.HeartbeatTrace.Heartbeat;
import org.carawaysill.policy.detection.HeartbeatTrace.Trouble;
import org.junit.jupiter.api.Test;

/** Compares failure detectors on the same 10 traces of one hour for each disturbance, with one heartbeat per second. */
class DetectorComparisonTest {

    private static final int SEEDS = 10;
    private static final long INITIAL_TIMEOUT_NANOS = Duration.ofMillis(3_500).toNanos();

    private record Quality(double detectionSeconds, double mistakesPerHour, double accuracy) {}

    @Test
    void figuresOfTheDecisionRecord() {
        List<String> rows = new ArrayList<>();
        rows.add("trouble            detector                          detection s  mistakes/h  query accuracy");
        for (Trouble trouble : Trouble.values()) {
            detectors().forEach((name, detector) -> {
                Quality quality = measure(trouble, detector);
                rows.add(String.format(
                        Locale.ROOT,
                        "%-17s  %-32s  %11.2f  %10.2f  %14.5f",
                        trouble.name().toLowerCase(Locale.ROOT),
                        name,
                        quality.detectionSeconds,
                        quality.mistakesPerHour,
                        quality.accuracy));
            });
        }
        Approvals.verify(String.join("\n", rows));
    }

    private static Map<String, Supplier<Detector>> detectors() {
        Map<String, Supplier<Detector>> detectors = new LinkedHashMap<>();
        for (int millis : new int[] {1_500, 2_000, 2_500, 3_500}) {
            detectors.put("fixed " + millis + " ms", () -> Detector.fixed(Duration.ofMillis(millis)));
        }
        for (int millis : new int[] {500, 1_000, 1_500, 2_500}) {
            detectors.put("Chen margin " + millis + " ms", () -> new ChenDetector(millis * 1e6, INITIAL_TIMEOUT_NANOS));
        }
        for (int threshold : new int[] {3, 8, 16}) {
            detectors.put(
                    "phi accrual " + threshold, () -> new PhiAccrualDetector(threshold, 100e6, INITIAL_TIMEOUT_NANOS));
        }
        for (int millis : new int[] {1_500, 2_500, 3_500}) {
            detectors.put(
                    "self-tuning, detection " + millis + " ms",
                    () -> new SelfTuningDetector(100e6, millis * 1_000_000L, 0.5, 0.9999, INITIAL_TIMEOUT_NANOS));
        }
        return detectors;
    }

    private static Quality measure(Trouble trouble, Supplier<Detector> create) {
        double detection = 0;
        double suspected = 0;
        double total = 0;
        int mistakes = 0;
        int heartbeats = 0;
        for (int seed = 1; seed <= SEEDS; seed++) {
            Detector detector = create.get();
            List<Heartbeat> trace = HeartbeatTrace.of(trouble, seed).heartbeats();
            for (Heartbeat heartbeat : trace) {
                if (heartbeat.arrived() >= detector.suspectsFromNanos()) {
                    mistakes++;
                    suspected += heartbeat.arrived() - detector.suspectsFromNanos();
                }
                detector.heartbeat(heartbeat.arrived(), heartbeat.sequence());
                // A crash happens at any time before the next heartbeat is due: on average half an interval after the
                // last one.
                detection += detector.suspectsFromNanos() - heartbeat.sent() - HeartbeatTrace.INTERVAL / 2.0;
            }
            heartbeats += trace.size();
            total += trace.getLast().arrived();
        }
        return new Quality(detection / heartbeats / 1e9, mistakes / (total / 3.6e12), 1 - suspected / total);
    }
}
