package org.carawaysill.node.entry;

import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.carawaysill.node.memory.Holder;
import org.carawaysill.node.memory.MemoryAccount;
import org.carawaysill.node.observation.Counters;

/** Exports what clients make the node hold, and its bounds. Stateless and thread safe. */
final class ClientGauges {

    private ClientGauges() {}

    /** Registers the gauges in a registry that is read on the event loop. */
    static void register(PrometheusRegistry registry, MemoryAccount memory, ClientConnections connections) {
        GaugeWithCallback.builder()
                .name(Counters.PREFIX + "entry_body_bytes")
                .help("Bytes of the bodies of open requests that entered here, and how many there may be")
                .labelNames("state")
                .callback(callback -> {
                    callback.call(memory.held(Holder.BODIES), "held");
                    callback.call(memory.bodyLimit(), "limit");
                })
                .register(registry);
        GaugeWithCallback.builder()
                .name(Counters.PREFIX + "client_memory_bytes")
                .help("Memory that clients make the node hold, by what holds it")
                .labelNames("holder")
                .callback(callback -> {
                    for (Holder holder : Holder.values()) {
                        callback.call(memory.held(holder), Counters.labelValue(holder));
                    }
                })
                .register(registry);
        GaugeWithCallback.builder()
                .name(Counters.PREFIX + "client_memory_bound_bytes")
                .help("How much memory all clients may make the node hold, and the most that they have")
                .labelNames("state")
                .callback(callback -> {
                    callback.call(memory.limit(), "limit");
                    callback.call(memory.peak(), "peak");
                })
                .register(registry);
        GaugeWithCallback.builder()
                .name(Counters.PREFIX + "client_connections")
                .help("Open connections of clients, and how many there may be")
                .labelNames("state")
                .callback(callback -> {
                    callback.call(connections.size(), "open");
                    callback.call(connections.limit(), "limit");
                })
                .register(registry);
    }
}
