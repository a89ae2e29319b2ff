package org.carawaysill.node.policy;

import java.util.List;
import java.util.Optional;
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
 * Lets the policy decide about each event and dispatches the effects.
 *
 * <p>Invariant: effects are dispatched in the policy's order. Used only by the policy's thread.
 */
final class PolicyWork implements DutyWork<Arrival> {

    private static final long PAUSE_AFTER_FAILURE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private final NodePolicy policy;

    private final NodeClock clock;

    private final EffectDispatcher dispatcher;

    private final Counters counters;

    private long nextWakeNanos;

    private String latestFailure = "";

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
            effects.forEach(dispatcher::dispatch);
            nextWakeNanos = policy.nextWakeNanos();
        } catch (RuntimeException | AssertionError failure) {
            nextWakeNanos = now.nanos() + PAUSE_AFTER_FAILURE_NANOS;
            survive(event, failure);
        }
    }

    /**
     * Guards against a fault of the policy at one event, which would end its thread and show as a node that accepts
     * connections but never answers. The exchange concerned is answered as unknown, since the effects that came before
     * the fault may have handed it to a copy; all others go on.
     */
    private void survive(Event event, Throwable failure) {
        counters.policyFailure();
        if (!failure.toString().equals(latestFailure)) {
            latestFailure = failure.toString();
            StateLog.fault(Step.ADMISSION, Optional.empty(), "the policy failed at an event: " + failure);
        }
        exchangeOf(event).ifPresent(exchange -> {
            Outcome unknown = new Outcome.Unknown(UnknownReason.EARLIER_ATTEMPT, Step.ADMISSION, Optional.empty());
            dispatcher.dispatch(new Effect.AnswerExchange(exchange, unknown));
        });
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
