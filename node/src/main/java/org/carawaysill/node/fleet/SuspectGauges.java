package org.carawaysill.node.fleet;

import io.prometheus.metrics.core.datapoints.GaugeDataPoint;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.carawaysill.node.observation.Counters;
import org.carawaysill.policy.fleet.FleetEffect;

/** Exports the number of requests that are suspected of crashing copies. Thread safe. */
final class SuspectGauges {

    private final GaugeDataPoint suspected;
    private final GaugeDataPoint quarantined;

    SuspectGauges(PrometheusRegistry registry) {
        Gauge requests = Gauge.builder()
                .name(Counters.PREFIX + "suspects")
                .help("Requests under which copies crashed, by what is believed of them")
                .labelNames("state")
                .register(registry);
        suspected = requests.labelValues("suspected");
        quarantined = requests.labelValues("quarantined");
    }

    void show(FleetEffect.ShowSuspects newest) {
        suspected.set(newest.suspected() - newest.quarantined());
        quarantined.set(newest.quarantined());
    }
}
