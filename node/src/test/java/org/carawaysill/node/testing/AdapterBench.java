package org.carawaysill.node.testing;

import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.prometheus.metrics.model.snapshots.CounterSnapshot;
import io.prometheus.metrics.model.snapshots.Labels;
import io.prometheus.metrics.model.snapshots.MetricSnapshot;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import org.carawaysill.kernel.service.ServiceRegistry;
import org.carawaysill.node.observation.Counters;
import org.carawaysill.node.policy.Arrival;
import org.carawaysill.node.policy.PolicyInbox;
import org.carawaysill.node.policy.StatusBoard;
import org.carawaysill.policy.event.Event;

/**
 * The environment of an adapter under test, with the test in place of the policy. Not thread safe: confined to the
 * test's thread.
 */
public final class AdapterBench implements AutoCloseable {

    private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(30);

    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));

    private final Context eventLoop = vertx.getOrCreateContext();

    private final ServiceRegistry registry = new ServiceRegistry();

    private final Counters counters = registry.register(new Counters(new PrometheusRegistry()));

    private final StatusBoard board = registry.register(new StatusBoard());

    private final PolicyInbox inbox = registry.register(new PolicyInbox(vertx));

    public Vertx vertx() {
        return vertx;
    }

    public Context eventLoop() {
        return eventLoop;
    }

    public ServiceRegistry registry() {
        return registry;
    }

    public StatusBoard board() {
        return board;
    }

    public PolicyInbox inbox() {
        return inbox;
    }

    /**
     * Waits for the next event and checks its type; skips wake-ups, with which tests fill the ring.
     *
     * @param <T> the expected type
     * @param type the expected type
     * @return the event
     */
    public <T extends Event> T next(Class<T> type) {
        return assertInstanceOf(type, next());
    }

    private Event next() {
        long start = System.nanoTime();
        while (System.nanoTime() - start < TIMEOUT_NANOS) {
            Optional<Arrival> arrival = inbox.ring().poll();
            if (arrival.isPresent() && !(arrival.get().event() instanceof Event.WakeUp)) {
                return arrival.get().event();
            }
            if (arrival.isEmpty()) {
                inbox.ring().await(TIMEOUT_NANOS);
            }
        }
        throw new AssertionError("no event arrived before the timeout");
    }

    /**
     * Reads a counter.
     *
     * @param name its name without the prefix
     * @param label the value of its last label
     * @return the sum over its other labels
     */
    public double counted(String name, String label) {
        double sum = 0;
        for (MetricSnapshot snapshot : counters.registry().scrape(name("carawaysill_" + name))) {
            for (CounterSnapshot.CounterDataPointSnapshot point : ((CounterSnapshot) snapshot).getDataPoints()) {
                Labels labels = point.getLabels();
                sum += labels.getValue(labels.size() - 1).equals(label) ? point.getValue() : 0;
            }
        }
        return sum;
    }

    private static Predicate<String> name(String wanted) {
        return wanted::equals;
    }

    /**
     * Waits until a condition holds.
     *
     * @param condition the condition
     */
    public static void await(BooleanSupplier condition) {
        long start = System.nanoTime();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - start > TIMEOUT_NANOS) {
                throw new AssertionError("the condition did not hold before the timeout");
            }
            Thread.onSpinWait();
        }
    }

    @Override
    public void close() {
        registry.stop().join();
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }
}
