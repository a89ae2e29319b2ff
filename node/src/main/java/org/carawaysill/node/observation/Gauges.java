package org.carawaysill.node.observation;

import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.function.DoubleSupplier;
import java.util.function.ToDoubleFunction;
import org.carawaysill.kernel.ring.BoundedRing;
import org.carawaysill.kernel.service.Service;
import org.carawaysill.kernel.service.ServiceRegistry;
import org.carawaysill.node.policy.PolicyInbox;
import org.carawaysill.node.policy.StatusBoard;
import org.carawaysill.policy.effect.NodeStatus;
import org.carawaysill.policy.effect.PeerState;

/**
 * The node's gauges, computed when they are scraped: the published state, the ring, memory and processor time.
 *
 * <p>Invariant: they cost nothing between scrapes. Thread safe.
 */
public final class Gauges implements Service {

    /** The name under which the service is registered. */
    public static final String NAME = "gauges";

    private final PrometheusRegistry registry;

    private final StatusBoard board;

    /**
     * Registers all gauges.
     *
     * @param services provides the counters, the inbox and the status board
     */
    public Gauges(ServiceRegistry services) {
        this.registry = services.require(Counters.NAME, Counters.class).registry();
        this.board = services.require(StatusBoard.NAME, StatusBoard.class);
        addStatus();
        addRing(services.require(PolicyInbox.NAME, PolicyInbox.class).ring());
        addProcess();
    }

    @Override
    public String name() {
        return NAME;
    }

    private void addStatus() {
        status("in_flight", "Requests at the local copy", NodeStatus::inFlight);
        status("concurrency_limit", "Learned limit of requests at the local copy", NodeStatus::limit);
        status("queued", "Requests waiting for a slot of the local copy", NodeStatus::queued);
        status("cut", "Lowest priority level that is admitted", NodeStatus::cut);
        status("draining", "1 while the node takes no new work", status -> status.draining() ? 1 : 0);
        status("lease_held", "1 while the node may run work that must run at most once", s -> s.leaseHeld() ? 1 : 0);
        gauge("cut_below", "The same cut at a deeper service", "service")
                .callback(callback ->
                        board.latest().cutsBelow().forEach((service, cut) -> callback.call(cut, service.value())))
                .register(registry);
        gauge("configuration_version", "Version in force", "service")
                .callback(callback -> board.latest()
                        .versions()
                        .forEach((service, version) -> callback.call(version, service.value())))
                .register(registry);
        gauge("peers", "Watched nodes by state", "state")
                .callback(this::callPeers)
                .register(registry);
    }

    private void callPeers(GaugeWithCallback.Callback callback) {
        for (PeerState state : PeerState.values()) {
            long count = board.latest().peers().values().stream()
                    .filter(state::equals)
                    .count();
            callback.call(count, Counters.labelValue(state));
        }
    }

    private void addRing(BoundedRing<?> ring) {
        value("ring_events", "Events waiting for the policy", ring::size);
        value("ring_capacity", "Events that may wait for the policy", ring::capacity);
        total("ring_full", "Events that found the ring full", ring::refusedOffers);
    }

    private void addProcess() {
        Runtime runtime = Runtime.getRuntime();
        value("heap_used_bytes", "Used heap", () -> runtime.totalMemory() - runtime.freeMemory());
        value("heap_limit_bytes", "Largest heap", runtime::maxMemory);
        value("resident_bytes", "Resident memory of the process", ProcessStatistics::residentBytes);
        total("processor_seconds", "Processor time of the process", ProcessStatistics::processorSeconds);
    }

    private void status(String name, String help, ToDoubleFunction<NodeStatus> reading) {
        value(name, help, () -> reading.applyAsDouble(board.latest()));
    }

    private void value(String name, String help, DoubleSupplier reading) {
        gauge(name, help)
                .callback(callback -> callback.call(reading.getAsDouble()))
                .register(registry);
    }

    private void total(String name, String help, DoubleSupplier reading) {
        CounterWithCallback.builder()
                .name(Counters.PREFIX + name)
                .help(help)
                .callback(callback -> callback.call(reading.getAsDouble()))
                .register(registry);
    }

    private static GaugeWithCallback.Builder gauge(String name, String help, String... labels) {
        return GaugeWithCallback.builder()
                .name(Counters.PREFIX + name)
                .help(help)
                .labelNames(labels);
    }
}
