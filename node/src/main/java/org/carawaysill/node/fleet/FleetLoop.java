package org.carawaysill.node.fleet;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.carawaysill.kernel.service.Service;
import org.carawaysill.model.request.Step;
import org.carawaysill.node.memory.MemoryFaults;
import org.carawaysill.node.observation.Counters;
import org.carawaysill.node.observation.StateLog;
import org.carawaysill.node.policy.NodeClock;
import org.carawaysill.policy.fleet.FleetEffect;
import org.carawaysill.policy.fleet.FleetEvent;
import org.carawaysill.policy.fleet.FleetPolicy;
import org.carawaysill.policy.time.Moment;
import org.jspecify.annotations.Nullable;

/**
 * Passes events to the policy and its effects to the node, on a single event loop thread.
 *
 * <p>Input, decisions and output share the thread to avoid handing requests over between threads: with a ring buffer
 * and a separate policy thread, each of the four steps of a forwarded request had to wake another thread. Invariant: an
 * event that arrives while another one is being decided waits until all effects of that event are dispatched. Only
 * {@link #submit} is thread safe; everything else is confined to the event loop.
 */
public final class FleetLoop implements Service {

    /** The name under which the service is registered. */
    public static final String NAME = "loop";

    private static final int MAXIMUM_LOGGED_FAILURES = 20;

    private final EventLoop eventLoop;
    private final FleetPolicy policy;
    private final NodeClock clock;
    private final Counters counters;
    private final ArrayDeque<FleetEvent> waiting = new ArrayDeque<>();
    private Consumer<FleetEffect> effects = _ -> {};
    private Optional<MemoryFaults> memoryFaults = Optional.empty();
    private @Nullable ScheduledFuture<?> wake;
    private long wakeNanos = Long.MAX_VALUE;
    private long lastNanos = Long.MIN_VALUE;
    private int loggedFailures;
    private boolean deciding;

    FleetLoop(EventLoop eventLoop, FleetPolicy policy, NodeClock clock, Counters counters) {
        this.eventLoop = eventLoop;
        this.policy = policy;
        this.clock = clock;
        this.counters = counters;
    }

    @Override
    public String name() {
        return NAME;
    }

    /** Sets the receiver that carries out effects. */
    void effects(Consumer<FleetEffect> receiver) {
        effects = receiver;
    }

    /** Sets who is told that memory ran out. */
    void memoryFaults(MemoryFaults receiver) {
        memoryFaults = Optional.of(receiver);
    }

    /**
     * Passes an event to the policy. May be called on any thread.
     *
     * @param event the event
     */
    public void submit(FleetEvent event) {
        if (eventLoop.inEventLoop()) {
            handle(event);
        } else {
            eventLoop.execute(() -> handle(event));
        }
    }

    /** Passes an event to the policy. Must be called on the event loop. */
    void handle(FleetEvent event) {
        waiting.add(event);
        if (deciding) {
            return;
        }
        deciding = true;
        try {
            while (!waiting.isEmpty()) {
                decide(waiting.poll());
            }
        } catch (OutOfMemoryError fault) {
            memoryFaults.ifPresent(receiver -> receiver.check(fault));
        } finally {
            deciding = false;
        }
        scheduleWake();
    }

    private void decide(FleetEvent event) {
        Moment read = clock.now();
        Moment now = read.nanos() < lastNanos ? new Moment(lastNanos, read.epochMillis()) : read;
        lastNanos = now.nanos();
        try {
            List<FleetEffect> decided = policy.decide(now, event);
            decided.forEach(this::dispatch);
        } catch (RuntimeException failure) {
            // A policy failure at one event must not end the node; the affected requests run into their time limits.
            counters.policyFailure();
            logFailure("the policy failed at " + event.getClass().getSimpleName(), failure);
        }
    }

    private void dispatch(FleetEffect effect) {
        try {
            effects.accept(effect);
        } catch (RuntimeException failure) {
            counters.effectFailure();
            logFailure("an effect failed: " + effect.getClass().getSimpleName(), failure);
        }
    }

    private void logFailure(String what, RuntimeException failure) {
        if (loggedFailures++ < MAXIMUM_LOGGED_FAILURES) {
            StackTraceElement[] trace = failure.getStackTrace();
            StateLog.fault(
                    Step.ADMISSION,
                    Optional.empty(),
                    what + ": " + failure + " at " + (trace.length == 0 ? "-" : trace[0]));
        }
    }

    private void scheduleWake() {
        long due = policy.nextWakeNanos();
        if (wake != null && wakeNanos <= due) {
            return;
        }
        if (wake != null) {
            wake.cancel(false);
        }
        wakeNanos = due;
        long delay = Math.max(0, due - clock.now().nanos());
        wake = eventLoop.schedule(this::wakeUp, delay, TimeUnit.NANOSECONDS);
    }

    private void wakeUp() {
        wake = null;
        wakeNanos = Long.MAX_VALUE;
        handle(new FleetEvent.WakeUp());
    }
}
