package org.carawaysill.node.fleet;

import io.prometheus.metrics.core.datapoints.CounterDataPoint;
import io.prometheus.metrics.core.datapoints.GaugeDataPoint;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.function.LongSupplier;
import org.carawaysill.node.observation.Counters;

/** Exports how many requests were sent to the local copy, and the limit that the copy names. Thread safe. */
final class CopyGauges {

    private final PrometheusRegistry registry;
    private final CounterDataPoint sent;
    private final GaugeDataPoint rateLimit;

    CopyGauges(PrometheusRegistry registry) {
        this.registry = registry;
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

    /** Exports the memory of requests that other nodes sent; it is read on the event loop. */
    void showReceived(LongSupplier received, long limit) {
        GaugeWithCallback.builder()
                .name(Counters.PREFIX + "received_request_bytes")
                .help("Memory of requests for the local copy that other nodes sent, and how much they may take")
                .labelNames("state")
                .callback(callback -> {
                    callback.call(received.getAsLong(), "held");
                    callback.call(limit, "limit");
                })
                .register(registry);
    }

    void countSent() {
        sent.inc();
    }

    void showLimit(double requestsPerSecond) {
        rateLimit.set(requestsPerSecond);
    }
}
