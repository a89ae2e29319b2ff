package org.carawaysill.node.fleet;

import io.prometheus.metrics.core.datapoints.CounterDataPoint;
import io.prometheus.metrics.core.datapoints.GaugeDataPoint;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.carawaysill.node.observation.Counters;

/** Exports how many requests were sent to the local copy, and the limit that the copy names. Thread safe. */
final class CopyGauges {

    private final CounterDataPoint sent;
    private final GaugeDataPoint rateLimit;

    CopyGauges(PrometheusRegistry registry) {
        sent = Counter.builder()
                .name(Counters.PREFIX + "copy_requests")
                .help("Requests sent to the local copy")
                .withoutExemplars()
                .register(registry)
                .labelValues();
        rateLimit = Gauge.builder()
                .name(Counters.PREFIX + "copy_rate_limit")
                .help("Requests per second that the local copy takes, infinite if its answers name no limit")
                .withoutExemplars()
                .register(registry)
                .labelValues();
        rateLimit.set(Double.POSITIVE_INFINITY);
    }

    void countSent() {
        sent.inc();
    }

    void showLimit(double requestsPerSecond) {
        rateLimit.set(requestsPerSecond);
    }
}
