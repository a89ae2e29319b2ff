package org.carawaysill.soak;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.carawaysill.model.identity.AttemptIdentifier;
import org.carawaysill.model.identity.ExchangeIdentifier;
import org.carawaysill.model.request.AnswerContent;
import org.carawaysill.model.request.Body;
import org.carawaysill.model.request.Invariant;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.model.request.RefusalReason;
import org.carawaysill.model.request.RequestContent;
import org.carawaysill.model.request.Step;
import org.carawaysill.model.request.UnknownReason;
import org.carawaysill.policy.effect.Effect;
import org.carawaysill.policy.event.Event;

/**
 * Simulates an upstream copy, which outlives the process of its node and finishes the requests that it has started.
 *
 * <p>Not thread safe: one schedule owns it.
 */
final class SimulatedCopy {

    private static final int OK = 200;
    private static final int BAD_GATEWAY = 502;
    private static final long LEAVING_GRACE_NANOS = Duration.ofSeconds(5).toNanos();

    private final SimulatedNode node;
    private final Schedule schedule;
    private final RandomGenerator random;
    private final Map<AttemptIdentifier, Boolean> running = new HashMap<>();

    SimulatedCopy(SimulatedNode node, Schedule schedule, RandomGenerator random) {
        this.node = node;
        this.schedule = schedule;
        this.random = random;
    }

    int running() {
        return running.size();
    }

    boolean busy() {
        return !running.isEmpty();
    }

    void run(Effect.SendToCopy hand, long nodeNanos) {
        AttemptIdentifier attempt = hand.attempt();
        if (nodeNanos >= hand.deadlineNanos()) {
            refuse(attempt, RefusalReason.DEADLINE);
            return;
        }
        if (random.nextDouble() < schedule.copyFailureRate()) {
            refuse(attempt, RefusalReason.COPY_UNREACHABLE);
            return;
        }
        if (node.drainingLongerThan(LEAVING_GRACE_NANOS)) {
            schedule.journal()
                    .breach(schedule.now(), Invariant.NO_WORK_WHEN_LEAVING, node.name() + " got work while leaving");
        }
        String key = hand.content().header(Clients.KEY_HEADER).orElseThrow();
        boolean entry = Topology.serviceOf(node.name()).equals(Topology.ENTRY);
        String operation = Topology.serviceOf(node.name()) + hand.content().path();
        schedule.runLog().started(key, operation, node.name().value());
        running.put(attempt, true);
        long incarnation = node.incarnation();
        schedule.eventQueue().in(workNanos(), () -> {
            if (entry && running.containsKey(attempt)) {
                callDeepService(incarnation, hand);
            } else {
                finish(incarnation, attempt, OK, key);
            }
        });
    }

    private void refuse(AttemptIdentifier attempt, RefusalReason reason) {
        Outcome outcome = new Outcome.NotRun(reason, Duration.ofMillis(100), Step.COPY_WRITE, Optional.empty());
        node.deliver(node.incarnation(), new Event.CopyAnswered(attempt, outcome));
    }

    private long workNanos() {
        return (long) (random.nextLong(2_000_000L, 30_000_000L) * schedule.workTimeFactor());
    }

    private void callDeepService(long incarnation, Effect.SendToCopy hand) {
        String key = hand.content().header(Clients.KEY_HEADER).orElseThrow();
        if (!node.alive() || node.incarnation() != incarnation) {
            running.remove(hand.attempt());
            return;
        }
        ExchangeIdentifier exchange = new ExchangeIdentifier(random.nextLong(), random.nextLong());
        RequestContent content = hand.content();
        node.open(
                exchange,
                outcome -> finish(incarnation, hand.attempt(), deepServiceStatus(key, outcome), key),
                new Event.CopyCall(exchange, Topology.DEEP, Optional.of(hand.attempt()), content));
    }

    private int deepServiceStatus(String key, Optional<Outcome> outcome) {
        if (outcome.isPresent() && outcome.get() instanceof Outcome.Answered(AnswerContent answer)) {
            schedule.clients().checkOwnAnswer(key, answer);
            return answer.status();
        }
        return BAD_GATEWAY;
    }

    private void finish(long incarnation, AttemptIdentifier attempt, int status, String key) {
        if (running.remove(attempt) == null) {
            return;
        }
        Outcome outcome = random.nextDouble() < schedule.copyFailureRate()
                ? new Outcome.Unknown(UnknownReason.COPY_LOST, Step.COPY_WAIT, Optional.empty())
                : new Outcome.Answered(new AnswerContent(status, List.of(), Body.ofText(key)));
        node.deliver(incarnation, new Event.CopyAnswered(attempt, outcome));
    }

    void cancel(AttemptIdentifier attempt) {
        running.remove(attempt);
    }
}
