package org.carawaysill.node.lifecycle;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.security.SecureRandom;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import org.carawaysill.kernel.service.ServiceRegistry;
import org.carawaysill.model.request.Step;
import org.carawaysill.model.settings.NodeSettings;
import org.carawaysill.node.admin.AdminServer;
import org.carawaysill.node.copy.CopyClient;
import org.carawaysill.node.copy.CopyClientSettings;
import org.carawaysill.node.exchange.ConnectionLimits;
import org.carawaysill.node.exchange.ExchangeServer;
import org.carawaysill.node.exchange.ExchangeServerSettings;
import org.carawaysill.node.exchange.ExchangeTable;
import org.carawaysill.node.exchange.IdentifierSource;
import org.carawaysill.node.observation.Counters;
import org.carawaysill.node.observation.Gauges;
import org.carawaysill.node.observation.StateLog;
import org.carawaysill.node.peer.PeerAdapter;
import org.carawaysill.node.platform.PlatformReader;
import org.carawaysill.node.policy.NodeClock;
import org.carawaysill.node.policy.NodePolicyFactory;
import org.carawaysill.node.policy.PolicyDuty;
import org.carawaysill.node.policy.PolicyInbox;
import org.carawaysill.node.policy.StatusBoard;
import org.carawaysill.policy.time.Moment;

/**
 * All services of one node.
 *
 * <p>Invariant: the servers start last and stop first, so that no request reaches a node without its policy. Thread
 * safe.
 */
public final class NodeProcess {

    /** The divisor for the part of the heap that bodies of open exchanges may use: a quarter. */
    private static final int HEAP_PARTS_FOR_BODIES = 4;

    private final NodeSettings settings;

    private final NodeClock clock;

    private final RandomGenerator random;

    private final ConnectionLimits connections;

    private final Moment start;

    private final Vertx vertx = EventLoopFactory.create();

    private final ServiceRegistry registry = new ServiceRegistry();

    private final PlannedStop plannedStop;

    private NodeProcess(Builder builder) {
        this.settings = builder.settings;
        this.clock = builder.clock;
        this.random = builder.random;
        this.connections = builder.connections;
        this.start = clock.now();
        registerSharedServices();
        this.plannedStop = registry.register(new PlannedStop(registry));
        registerAdapters();
        registry.register(new PolicyDuty(builder.factory.create(settings, start, random), clock, registry));
        registerServers();
    }

    private void registerSharedServices() {
        registry.register(new Counters(new PrometheusRegistry()));
        registry.register(new StatusBoard());
        registry.register(new PolicyInbox(vertx));
        registry.register(new Gauges(registry));
    }

    private void registerAdapters() {
        Context eventLoop = vertx.getOrCreateContext();
        long bodyBytes = Runtime.getRuntime().maxMemory() / HEAP_PARTS_FOR_BODIES;
        registry.register(new ExchangeTable(eventLoop, new IdentifierSource(random), bodyBytes, registry));
        CopyClientSettings copy = new CopyClientSettings(
                vertx,
                eventLoop,
                settings.addresses().copy(),
                settings.limits(),
                () -> clock.now().nanos());
        registry.register(new CopyClient(copy, registry));
        registry.register(new PeerAdapter(settings, start.epochMillis(), registry));
        registry.register(new PlatformReader(vertx, settings, registry));
    }

    private void registerServers() {
        registry.register(ExchangeServer.ingress(
                new ExchangeServerSettings(vertx, settings.addresses().ingress(), settings.limits(), connections),
                registry));
        registry.register(ExchangeServer.egress(
                new ExchangeServerSettings(vertx, settings.addresses().egress(), settings.limits(), connections),
                registry));
        registry.register(new AdminServer(vertx, settings, start.epochMillis(), registry));
    }

    /**
     * Returns a builder for a node.
     *
     * @param settings the node's settings
     * @param factory creates the node's policy
     * @return a builder
     */
    public static Builder builder(NodeSettings settings, NodePolicyFactory factory) {
        return new Builder(settings, factory);
    }

    /**
     * Starts all services.
     *
     * @return completes when the node serves; fails with the reason if it can't
     */
    public CompletableFuture<Void> start() {
        return registry.start().thenRun(() -> StateLog.change(Step.INGRESS, Optional.empty(), "serving"));
    }

    /** Begins a planned stop: the node drains, and then {@link #stopCompletion} completes. */
    public void orderStop() {
        plannedStop.orderStop();
    }

    /**
     * Returns the completion of a planned stop.
     *
     * @return completes when a stop is ordered and every request is finished; fails if the policy's thread ended by an
     *     error, since no request finishes after that
     */
    public CompletableFuture<Void> stopCompletion() {
        CompletableFuture<Void> end = plannedStop.completion();
        registry.require(PolicyDuty.NAME, PolicyDuty.class).ended().whenComplete((ignored, failure) -> {
            if (failure != null) {
                end.completeExceptionally(failure);
            }
        });
        return end;
    }

    /**
     * Stops all services after their pending writes are completed.
     *
     * @return completes when all services have stopped
     */
    public CompletableFuture<Void> stop() {
        return registry.stop()
                .handle((ignored, failure) -> vertx.close().toCompletionStage().toCompletableFuture())
                .thenCompose(closed -> closed);
    }

    /**
     * Returns the service registry, for lookups by name.
     *
     * @return the registry
     */
    public ServiceRegistry services() {
        return registry;
    }

    /** Collects the parts of a node. Not thread safe. */
    public static final class Builder {

        private final NodeSettings settings;

        private final NodePolicyFactory factory;

        private NodeClock clock = NodeClock.SYSTEM;

        private RandomGenerator random = new SecureRandom();

        private ConnectionLimits connections = ConnectionLimits.DEFAULTS;

        private Builder(NodeSettings settings, NodePolicyFactory factory) {
            this.settings = settings;
            this.factory = factory;
        }

        /**
         * Sets the clocks. The default is the clocks of the process.
         *
         * @param source the clocks
         * @return this builder
         */
        public Builder clock(NodeClock source) {
            clock = source;
            return this;
        }

        /**
         * Sets the source of identifiers and of the policy's randomness. The default is a secure one.
         *
         * @param generator the generator, thread safe
         * @return this builder
         */
        public Builder random(RandomGenerator generator) {
            random = generator;
            return this;
        }

        /**
         * Sets the limits of HTTP connections. The default is {@link ConnectionLimits#DEFAULTS}.
         *
         * @param limits the limits
         * @return this builder
         */
        public Builder connections(ConnectionLimits limits) {
            connections = limits;
            return this;
        }

        /**
         * Builds the node, which doesn't serve yet.
         *
         * @return the node
         */
        public NodeProcess build() {
            return new NodeProcess(this);
        }
    }
}
