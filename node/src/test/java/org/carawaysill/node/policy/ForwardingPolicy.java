package org.carawaysill.node.policy;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.carawaysill.model.identity.AttemptIdentifier;
import org.carawaysill.model.identity.ExchangeIdentifier;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.model.request.RefusalReason;
import org.carawaysill.model.request.Step;
import org.carawaysill.policy.NodePolicy;
import org.carawaysill.policy.effect.Effect;
import org.carawaysill.policy.event.Event;
import org.carawaysill.policy.time.Moment;

/**
 * Sends every caller's request to the local copy and refuses the copy's own calls.
 *
 * <p>Invariant: an attempt has the identifier of its exchange. Not thread safe.
 */
public final class ForwardingPolicy implements NodePolicy {

    private static final Duration DEADLINE = Duration.ofSeconds(10);

    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final Map<ExchangeIdentifier, Long> deadlines = new HashMap<>();

    private boolean draining;

    @Override
    public List<Effect> decide(Moment now, Event event) {
        return switch (event) {
            case Event.CallerRequest request -> forward(now, request);
            case Event.CopyCall call -> List.of(refuse(call.exchange(), RefusalReason.UNKNOWN_SERVICE));
            case Event.CopyAnswered answered -> answer(answered);
            case Event.ExchangeClosed closed -> cancel(closed.exchange());
            case Event.DrainOrdered ignored -> drain();
            case Event.WakeUp ignored -> cancelOverdue(now);
            case Event.PeerReceived ignored -> List.of();
            case Event.PeerConnected ignored -> List.of();
            case Event.PeerLost ignored -> List.of();
            case Event.PeerUnsent ignored -> List.of();
            case Event.ConfigurationRead ignored -> List.of();
            case Event.ConfigurationUnchanged ignored -> List.of();
            case Event.ConfigurationRefused ignored -> List.of();
            case Event.ConfigurationReadFailed ignored -> List.of();
            case Event.VmListRead ignored -> List.of();
        };
    }

    private List<Effect> forward(Moment now, Event.CallerRequest request) {
        if (draining) {
            return List.of(refuse(request.exchange(), RefusalReason.DRAINING));
        }
        long deadline = now.plus(DEADLINE).nanos();
        deadlines.put(request.exchange(), deadline);
        return List.of(new Effect.SendToCopy(attempt(request.exchange()), request.content(), deadline));
    }

    private static Effect refuse(ExchangeIdentifier exchange, RefusalReason reason) {
        return new Effect.AnswerExchange(
                exchange, new Outcome.NotRun(reason, RETRY_AFTER, Step.ADMISSION, Optional.empty()));
    }

    private List<Effect> answer(Event.CopyAnswered answered) {
        ExchangeIdentifier exchange = new ExchangeIdentifier(
                answered.attempt().high(), answered.attempt().low());
        deadlines.remove(exchange);
        Effect answer = new Effect.AnswerExchange(exchange, answered.outcome());
        return mayStop() ? List.of(answer, new Effect.StopProcess()) : List.of(answer);
    }

    private List<Effect> cancel(ExchangeIdentifier exchange) {
        return List.of(new Effect.CancelAtCopy(attempt(exchange)));
    }

    private List<Effect> drain() {
        draining = true;
        return mayStop() ? List.of(new Effect.StopProcess()) : List.of();
    }

    private boolean mayStop() {
        return draining && deadlines.isEmpty();
    }

    private List<Effect> cancelOverdue(Moment now) {
        return deadlines.entrySet().stream()
                .filter(entry -> entry.getValue() <= now.nanos())
                .<Effect>map(entry -> new Effect.CancelAtCopy(attempt(entry.getKey())))
                .toList();
    }

    private static AttemptIdentifier attempt(ExchangeIdentifier exchange) {
        return new AttemptIdentifier(exchange.high(), exchange.low());
    }

    @Override
    public long nextWakeNanos() {
        return deadlines.values().stream().mapToLong(Long::longValue).min().orElse(Long.MAX_VALUE);
    }
}
