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

/** What an adapter needs around it, with the test in the place of the policy. Confined to the test's thread. */
public final class AdapterBench implements AutoCloseable {

    private static final long GENEROUS_NANOS = TimeUnit.SECONDS.toNanos(30);

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
     * Waits for the next event and expects its type; passes over wake-ups, with which tests fill the ring.
     *
     * @param <T> the type expected
     * @param type the type expected
     * @return the event
     */
    public <T extends Event> T next(Class<T> type) {
        return assertInstanceOf(type, next());
    }

    private Event next() {
        long start = System.nanoTime();
        while (System.nanoTime() - start < GENEROUS_NANOS) {
            Optional<Arrival> arrival = inbox.ring().poll();
            if (arrival.isPresent() && !(arrival.get().event() instanceof Event.WakeUp)) {
                return arrival.get().event();
            }
            if (arrival.isEmpty()) {
                inbox.ring().await(GENEROUS_NANOS);
            }
        }
        throw new AssertionError("no event came");
    }

    /**
     * Reads a counter.
     *
     * @param name its name after the prefix
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
     * Waits until something holds.
     *
     * @param condition what must hold
     */
    public static void await(BooleanSupplier condition) {
        long start = System.nanoTime();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - start > GENEROUS_NANOS) {
                throw new AssertionError("it did not happen");
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
