package org.carawaysill.node.fleet;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.nio.channels.spi.SelectorProvider;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.carawaysill.kernel.service.ServiceRegistry;
import org.carawaysill.node.entry.EntryServer;
import org.carawaysill.node.lifecycle.EventLoopFactory;
import org.carawaysill.node.memory.MemoryAccount;
import org.carawaysill.node.memory.MemoryFaults;
import org.carawaysill.node.observation.Counters;
import org.carawaysill.node.policy.NodeClock;
import org.carawaysill.node.upstream.CopyConnections;
import org.carawaysill.policy.fleet.FleetEffect;
import org.carawaysill.policy.fleet.FleetEvent;
import org.carawaysill.policy.fleet.FleetPolicy;
import org.carawaysill.policy.fleet.publication.PublicationDecoder;
import org.carawaysill.policy.time.Moment;

/**
 * All services of one node in a fleet with shared routes.
 *
 * <p>Invariant: all services run on one event loop thread. Thread safe.
 */
public final class FleetNode {

    /** The divisor for the part of the heap that bodies of requests may use, and that of answers: a quarter each. */
    private static final int HEAP_PARTS_FOR_BODIES = 4;

    /** The part of the heap that clients may make the node hold, bodies included. */
    private static final double HEAP_PART_FOR_CLIENTS = 0.375;

    private static final long STOP_LIMIT_MILLIS = 500;

    private final EventLoopGroup group = eventLoops();
    private final EventLoop eventLoop = group.next();
    private final ServiceRegistry registry = new ServiceRegistry();
    private final CompletableFuture<Void> stopCompletion = new CompletableFuture<>();
    private final FleetLoop loop;
    private final MemoryFaults memoryFaults;
    private final EntryServer entry;
    private final CopyConnections copy;
    private final FleetPeers peers;
    private final FleetAdmin admin;
    private final DecisionLog log;
    private final Counters counters;
    private final RequestLatencies latencies;
    private final SuspectGauges suspects;
    private final CopyGauges copyGauges;
    private final PublishedEntrySource source;

    /**
     * Creates a node that doesn't serve yet.
     *
     * @param settings its settings
     * @param readyPath the path of the readiness probe
     * @param decoder decodes published entries
     * @param source creates the reader of published entries for the node's event loop
     */
    public FleetNode(
            FleetNodeSettings settings,
            String readyPath,
            PublicationDecoder decoder,
            Function<EventLoop, PublishedEntrySource> source) {
        Moment start = NodeClock.SYSTEM.now();
        counters = registry.register(new Counters(new PrometheusRegistry()));
        latencies = new RequestLatencies(counters.registry());
        suspects = new SuspectGauges(counters.registry());
        copyGauges = new CopyGauges(counters.registry());
        log = registry.register(new DecisionLog());
        FleetPolicy policy =
                new FleetPolicy(settings.policy(), decoder, new SplittableRandom(seed(settings, start)), start);
        loop = registry.register(new FleetLoop(eventLoop, policy, NodeClock.SYSTEM, counters));
        memoryFaults = registry.register(new MemoryFaults(this::orderStop));
        loop.memoryFaults(memoryFaults);
        copyGauges.showReceived(policy::receivedBytes, settings.policy().maximumReceivedBytes());
        DescriptorShares descriptors = DescriptorShares.of(settings.descriptors());
        long bodyMemory = Runtime.getRuntime().maxMemory() / HEAP_PARTS_FOR_BODIES;
        copy = registry.register(new CopyConnections(
                eventLoop,
                settings.policy().copyAddress(),
                settings.dialect(),
                bodyMemory,
                descriptors.copy(),
                loop::handle,
                registry));
        peers = registry.register(new FleetPeers(settings, start.epochMillis(), eventLoop, registry));
        entry = registry.register(new EntryServer(
                eventLoop,
                settings.entry(),
                settings.dialect(),
                new MemoryAccount((long) (Runtime.getRuntime().maxMemory() * HEAP_PART_FOR_CLIENTS), bodyMemory),
                descriptors.clients(),
                loop::handle,
                registry));
        admin = registry.register(new FleetAdmin(eventLoop, settings, readyPath, registry));
        this.source = source.apply(eventLoop);
        loop.effects(this::dispatch);
    }

    private static EventLoopGroup eventLoops() {
        EventLoopFactory.setLibraryLimits();
        IoHandlerFactory paced = NioIoHandler.newFactory(SelectorProvider.provider(), PacedSelectStrategy::new);
        return new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("node"), paced);
    }

    /**
     * Seeds the random names of attempts; two nodes, or two incarnations of one node, must not generate the same names.
     */
    private static long seed(FleetNodeSettings settings, Moment start) {
        return settings.policy().self().hashCode() * 0x9E3779B97F4A7C15L ^ start.nanos() ^ start.epochMillis() << 20;
    }

    /**
     * Starts all services.
     *
     * <p>Everything runs on the event loop, because two threads that run the same function of the C library at the same
     * time can crash the process: while the execution environment rewrites the instructions there that make system
     * calls, the other thread resumes in the middle of an instruction. The process then ends by SIGILL (exit code 134)
     * and loses its requests in flight. It occurred 0.1 to 0.2 s after about one start in 250, when the caller's thread
     * read classes from files for one service while the services started before it were already running. A caller that
     * only waits reads no files.
     *
     * @return completes when the node listens; fails with the reason if it can't
     */
    public CompletableFuture<Void> start() {
        return CompletableFuture.supplyAsync(registry::start, eventLoop)
                .thenCompose(Function.identity())
                .thenRun(() -> loop.submit(new FleetEvent.WakeUp()));
    }

    /**
     * Applies changed settings, as far as a running node supports it.
     *
     * @param settings the new settings
     */
    public void reload(FleetNodeSettings settings) {
        loop.submit(new FleetEvent.SettingsChanged(settings.policy()));
    }

    /**
     * Begins a planned stop if memory ran out.
     *
     * @param cause what failed
     */
    public void failed(Throwable cause) {
        memoryFaults.check(cause);
    }

    /** Begins a planned stop: the node finishes its requests, and then {@link #stopCompletion} completes. */
    public void orderStop() {
        loop.submit(new FleetEvent.StopRequested());
    }

    /**
     * Returns the completion of a planned stop.
     *
     * @return completes when the process may exit
     */
    public CompletableFuture<Void> stopCompletion() {
        return stopCompletion;
    }

    /**
     * Returns the service registry, for lookups by name.
     *
     * @return the registry
     */
    public ServiceRegistry services() {
        return registry;
    }

    /**
     * Stops all services.
     *
     * @return completes when all services have stopped
     */
    public CompletableFuture<Void> stop() {
        return registry.stop()
                .whenComplete((_, _) -> group.shutdownGracefully(0, STOP_LIMIT_MILLIS, TimeUnit.MILLISECONDS));
    }

    private void dispatch(FleetEffect effect) {
        switch (effect) {
            case FleetEffect.SendToCopy request -> {
                copyGauges.countSent();
                copy.send(request);
            }
            case FleetEffect.CancelAtCopy cancel -> copy.cancel(cancel.attempt());
            case FleetEffect.CloseIdleCopyConnections _ -> copy.closeIdle();
            case FleetEffect.AnswerExchange answer -> entry.answer(answer.exchange(), answer.outcome());
            case FleetEffect.SendToPeer send -> peers.send(send.peer(), send.message());
            case FleetEffect.ConnectPeer connect -> peers.connect(connect.peer());
            case FleetEffect.DisconnectPeer disconnect -> peers.disconnect(disconnect.peer());
            case FleetEffect.ResetPeer reset -> peers.reset(reset.peer());
            case FleetEffect.ReadEntries read -> source.read(read).thenAccept(loop::submit);
            case FleetEffect.ApplyClientLimits limit -> entry.limitClients(limit.limits());
            case FleetEffect.ShowReadiness readiness -> showReadiness(readiness.ready());
            case FleetEffect.Count count -> counters.count(count.counted());
            case FleetEffect.Log decided -> {
                latencies.observe(decided.decision());
                log.write(decided.decision());
            }
            case FleetEffect.ShowSuspects show -> suspects.show(show);
            case FleetEffect.ShowRateLimit limit -> copyGauges.showLimit(limit.requestsPerSecond());
            case FleetEffect.CheckUnwritten _ ->
                loop.handle(new FleetEvent.UnwrittenChecked(entry.unwritten(), peers.unwritten()));
            case FleetEffect.StopProcess _ -> stopCompletion.complete(null);
        }
    }

    private void showReadiness(boolean ready) {
        admin.setReady(ready);
        if (!ready) {
            entry.beginStop();
        }
    }
}
