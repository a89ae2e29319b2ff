package org.carawaysill.node.peer;

import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.carawaysill.node.observation.Counters;
import org.carawaysill.protocol.link.LinkCounters;
import org.carawaysill.protocol.link.LinkFaultKind;
import org.carawaysill.protocol.link.TrafficKind;

/** Exports the counters of the link between nodes. Invariant: costs nothing between scrapes. Thread safe. */
public final class LinkMetrics {

    private static final String SENT = "sent";

    private static final String RECEIVED = "received";

    private final LinkCounters counters;

    private LinkMetrics(LinkCounters counters) {
        this.counters = counters;
    }

    /**
     * Registers the series of a link.
     *
     * @param counters the counters of the link
     * @param registry the registry for the series
     */
    public static void register(LinkCounters counters, PrometheusRegistry registry) {
        LinkMetrics metrics = new LinkMetrics(counters);
        counter("link_faults", "Faults of connections between nodes", "reason")
                .callback(metrics::callFaults)
                .register(registry);
        counter("link_frames", "Frames between nodes", "direction", "kind")
                .callback(metrics::callFrames)
                .register(registry);
        counter("link_bytes", "Bytes between nodes", "direction", "kind")
                .callback(metrics::callBytes)
                .register(registry);
        counter("link_blocked_frames", "Frames dropped by an injected fault")
                .callback(callback -> callback.call(counters.blockedFrames()))
                .register(registry);
    }

    private static CounterWithCallback.Builder counter(String name, String help, String... labels) {
        return CounterWithCallback.builder()
                .name(Counters.PREFIX + name)
                .help(help)
                .labelNames(labels);
    }

    private void callFaults(CounterWithCallback.Callback callback) {
        for (LinkFaultKind kind : LinkFaultKind.values()) {
            callback.call(counters.faults(kind), Counters.labelValue(kind));
        }
    }

    private void callFrames(CounterWithCallback.Callback callback) {
        for (TrafficKind kind : TrafficKind.values()) {
            callback.call(counters.sentFrames(kind), SENT, Counters.labelValue(kind));
            callback.call(counters.receivedFrames(kind), RECEIVED, Counters.labelValue(kind));
        }
    }

    private void callBytes(CounterWithCallback.Callback callback) {
        for (TrafficKind kind : TrafficKind.values()) {
            callback.call(counters.sentBytes(kind), SENT, Counters.labelValue(kind));
            callback.call(counters.receivedBytes(kind), RECEIVED, Counters.labelValue(kind));
        }
    }
}
