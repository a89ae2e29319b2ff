package org.carawaysill.node.policy;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.carawaysill.kernel.duty.DutyWork;
import org.carawaysill.model.identity.ExchangeIdentifier;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.model.request.Step;
import org.carawaysill.model.request.UnknownReason;
import org.carawaysill.node.observation.Counters;
import org.carawaysill.node.observation.StateLog;
import org.carawaysill.policy.NodePolicy;
import org.carawaysill.policy.effect.Effect;
import org.carawaysill.policy.event.Event;
import org.carawaysill.policy.time.Moment;

/**
 * Passes each event to the policy and dispatches the effects.
 *
 * <p>Invariant: effects are dispatched in the policy's order. Not thread safe: used only by the policy's thread.
 */
final class PolicyWork implements DutyWork<Arrival> {

    private static final int MAXIMUM_LOGGED_FAILURES = 100;

    private static final long PAUSE_AFTER_FAILURE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private final NodePolicy policy;

    private final NodeClock clock;

    private final EffectDispatcher dispatcher;

    private final Counters counters;

    private long nextWakeNanos;

    private final Set<String> loggedFailures = new HashSet<>();

    PolicyWork(NodePolicy policy, NodeClock clock, EffectDispatcher dispatcher, Counters counters) {
        this.policy = policy;
        this.clock = clock;
        this.dispatcher = dispatcher;
        this.counters = counters;
        this.nextWakeNanos = policy.nextWakeNanos();
    }

    @Override
    public void handle(Arrival arrival) {
        Moment now = clock.now();
        counters.handoff(now.nanos() - arrival.offeredNanos());
        decide(now, arrival.event());
    }

    @Override
    public void wakeUp() {
        decide(clock.now(), new Event.WakeUp());
    }

    @Override
    public long nextWakeNanos() {
        return nextWakeNanos;
    }

    private void decide(Moment now, Event event) {
        try {
            List<Effect> effects = policy.decide(now, event);
            effects.forEach(this::dispatch);
            nextWakeNanos = policy.nextWakeNanos();
        } catch (RuntimeException | AssertionError failure) {
            nextWakeNanos = now.nanos() + PAUSE_AFTER_FAILURE_NANOS;
            containFailure(event, failure);
        }
    }

    /**
     * Dispatches an effect and contains its failure. Otherwise the effects after it would be lost, and requests would
     * stay unanswered.
     */
    private void dispatch(Effect effect) {
        try {
            dispatcher.dispatch(effect);
        } catch (RuntimeException failure) {
            counters.effectFailure();
            logOnce(effect.getClass().getSimpleName() + " failed: " + failure);
        }
    }

    /**
     * Contains a failure of the policy at one event. Otherwise its thread would end, and the node would accept
     * connections but never answer. The exchange of the event is answered as unknown, since earlier effects may have
     * sent the request to a copy; all others continue.
     */
    private void containFailure(Event event, Throwable failure) {
        counters.policyFailure();
        logOnce("the policy failed at an event: " + failure);
        exchangeOf(event).ifPresent(exchange -> {
            Outcome unknown = new Outcome.Unknown(UnknownReason.EARLIER_ATTEMPT, Step.ADMISSION, Optional.empty());
            dispatch(new Effect.AnswerExchange(exchange, unknown));
        });
    }

    private void logOnce(String failure) {
        if (loggedFailures.size() < MAXIMUM_LOGGED_FAILURES && loggedFailures.add(failure)) {
            StateLog.fault(Step.ADMISSION, Optional.empty(), failure);
        }
    }

    private static Optional<ExchangeIdentifier> exchangeOf(Event event) {
        if (event instanceof Event.CallerRequest request) {
            return Optional.of(request.exchange());
        }
        if (event instanceof Event.CopyCall call) {
            return Optional.of(call.exchange());
        }
        return Optional.empty();
    }
}
