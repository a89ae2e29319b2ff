package org.carawaysill.node.testing;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.time.Duration;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.carawaysill.kernel.service.ServiceRegistry;
import org.carawaysill.node.entry.WireDialect;
import org.carawaysill.node.fleet.DecisionLog;
import org.carawaysill.node.memory.MemoryFaults;
import org.carawaysill.node.observation.Counters;
import org.carawaysill.policy.fleet.FleetEvent;

/**
 * An event loop with the services that adapters of a fleet node need, and a queue of the events that they emit. Thread
 * safe.
 */
public final class LoopBench implements AutoCloseable {

    /** Names of header fields that stand for those of any platform. */
    public static final WireDialect DIALECT = new WireDialect(
            "Name",
            "Patience",
            "Copy",
            "Seal",
            "Not-Run",
            "Caller",
            "Organisation",
            "Rate-Limit",
            "Leaving",
            "Token",
            true);

    private static final int TIMEOUT_SECONDS = 30;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop eventLoop = group.next();
    private final ServiceRegistry registry = new ServiceRegistry();
    private final BlockingQueue<FleetEvent> events = new LinkedBlockingQueue<>();

    public LoopBench() {
        registry.register(new Counters(new PrometheusRegistry()));
        registry.register(new DecisionLog());
        registry.register(new MemoryFaults(() -> {}));
    }

    public EventLoop eventLoop() {
        return eventLoop;
    }

    public ServiceRegistry registry() {
        return registry;
    }

    public void add(FleetEvent event) {
        events.add(event);
    }

    public <E extends FleetEvent> E next(Class<E> type) {
        try {
            FleetEvent event = events.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            if (!type.isInstance(event)) {
                throw new AssertionError("expected " + type.getSimpleName() + " and got " + event);
            }
            return type.cast(event);
        } catch (InterruptedException interrupted) {
            throw new AssertionError(interrupted);
        }
    }

    public boolean hasNone() {
        onLoop(() -> {});
        return events.isEmpty();
    }

    /**
     * Runs an action on the event loop and waits until it ends.
     *
     * @param action the action
     */
    public void onLoop(Runnable action) {
        CompletableFuture.runAsync(action, eventLoop).join();
    }

    /**
     * Waits until a condition holds on the event loop.
     *
     * @param condition the condition
     */
    public void awaitOnLoop(BooleanSupplier condition) {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (!CompletableFuture.supplyAsync(condition::getAsBoolean, eventLoop)
                .join()) {
            if (System.nanoTime() - end > 0) {
                throw new AssertionError("the condition did not come to hold in time");
            }
            pause(Duration.ofMillis(5));
        }
    }

    public static void pause(Duration duration) {
        try {
            Thread.sleep(duration);
        } catch (InterruptedException interrupted) {
            throw new AssertionError(interrupted);
        }
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
