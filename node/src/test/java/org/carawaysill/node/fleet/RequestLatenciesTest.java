package org.carawaysill.node.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.prometheus.metrics.model.snapshots.HistogramSnapshot;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.model.request.RefusalReason;
import org.carawaysill.model.request.Step;
import org.carawaysill.node.observation.Counters;
import org.carawaysill.policy.fleet.Decision;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RequestLatenciesTest {

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final RequestLatencies latencies = new RequestLatencies(registry);

    private Map<String, Double> sums() {
        Map<String, Double> sums = new TreeMap<>();
        registry.scrape().forEach(snapshot -> {
            if (snapshot instanceof HistogramSnapshot histogram
                    && histogram.getMetadata().getName().equals(Counters.PREFIX + RequestLatencies.SERIES)) {
                histogram
                        .getDataPoints()
                        .forEach(point -> sums.put(point.getLabels().get("outcome"), point.getSum()));
            }
        });
        return sums;
    }

    @Nested
    class Observing {

        @Test
        void recordsFinishedRequestsByOutcome() {
            Outcome refusal = new Outcome.NotRun(
                    RefusalReason.OVERLOAD, Duration.ofMillis(300), Step.ADMISSION, Optional.empty());
            latencies.observe(
                    new Decision.Answered("a", "route", refusal, 0, TimeUnit.MILLISECONDS.toNanos(250), 0.5, 1));
            latencies.observe(new Decision.Abandoned("b", 1, TimeUnit.SECONDS.toNanos(2)));
            assertEquals(Map.of("answered", 0.0, "not_run", 0.25, "unknown", 0.0, "closed", 2.0), sums());
        }

        @Test
        void ignoresDecisionsThatEndNoRequest() {
            latencies.observe(new Decision.NodeChanged("ready", "version=1"));
            assertEquals(Map.of("answered", 0.0, "not_run", 0.0, "unknown", 0.0, "closed", 0.0), sums());
        }
    }
}
