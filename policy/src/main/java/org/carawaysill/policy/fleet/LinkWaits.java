package org.carawaysill.policy.fleet;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.carawaysill.model.identity.AttemptIdentifier;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.model.request.RefusalReason;
import org.carawaysill.model.request.Step;
import org.carawaysill.model.request.UnknownReason;

/**
 * The attempts that can't be repeated and whose connection ended before their answer.
 *
 * <p>The other node may be at work on them, so they wait for the next connection to the same process. It first delivers
 * the answers made meanwhile; then this node asks for each attempt that is left. One that is still at work goes on as
 * usual. Of one that is not there, either the request or its answer was lost on the way, so it may have run.
 *
 * <p>Invariants: no attempt waits longer than {@link #LIMIT}, unless the other node said that it is at work on it; no
 * reply to a question counts as "not run", however many there are and however late they come. Not thread safe: owned by
 * the policy.
 */
final class LinkWaits {

    /**
     * How long after the end of its connection an attempt waits for the next one and the reply to its question. Leaves
     * time for two dials, the first of which times out: 0.5 s to the first, 1 s until it times out, 0.5 s to the next.
     */
    static final Duration LIMIT = Duration.ofSeconds(2);

    private final Effects effects;
    private final ServiceName callerService;
    private final Map<AttemptIdentifier, Wait> waits = new LinkedHashMap<>();
    /** When the questions that found no room on their connection are asked again. */
    private final Map<AttemptIdentifier, Long> askAgainNanos = new LinkedHashMap<>();

    /**
     * An attempt that waits.
     *
     * @param request its request
     * @param peer the other node
     * @param sinceNanos when its connection ended
     * @param asked whether the other node was ever asked for it
     * @param atWork whether the other node replied on the present connection that it has the attempt; the wait is kept
     *     because replies to further questions may come
     */
    private record Wait(OutgoingRequest request, NodeName peer, long sinceNanos, boolean asked, boolean atWork) {

        private Wait asking() {
            return new Wait(request, peer, sinceNanos, true, atWork);
        }

        private Wait atWorkThere() {
            return new Wait(request, peer, sinceNanos, asked, true);
        }

        /** The wait for the next connection after the one on which the other node said that it has the attempt. */
        private Wait again(long now) {
            return new Wait(request, peer, now, asked, false);
        }

        private long untilNanos() {
            return atWork ? Long.MAX_VALUE : sinceNanos + LIMIT.toNanos();
        }
    }

    LinkWaits(Effects effects, ServiceName callerService) {
        this.effects = effects;
        this.callerService = callerService;
    }

    /** Holds an attempt whose connection ended; one that waited already does not wait longer for that. */
    void hold(long now, AttemptIdentifier attempt, OutgoingRequest request, NodeName peer) {
        Wait known = waits.get(attempt);
        if (known == null || known.atWork()) {
            Wait wait = known == null ? new Wait(request, peer, now, false, false) : known.again(now);
            waits.put(attempt, wait);
            log(now, wait, "waits");
        }
    }

    /**
     * Notes a new connection, and asks for the attempts if the same process is at its other end.
     *
     * @return the attempts that were at another process, which can't answer any more
     */
    List<AttemptIdentifier> connected(NodeName peer, boolean sameProcess) {
        List<AttemptIdentifier> there = waits.entrySet().stream()
                .filter(entry -> entry.getValue().peer().equals(peer))
                .map(Map.Entry::getKey)
                .toList();
        if (!sameProcess) {
            return there;
        }
        there.forEach(this::ask);
        return List.of();
    }

    private void ask(AttemptIdentifier attempt) {
        Wait wait = waits.get(attempt);
        wait.request().copy().ifPresent(copy -> {
            waits.put(attempt, wait.asking());
            effects.add(new FleetEffect.SendToPeer(
                    wait.peer(), CopyRequests.question(wait.request(), copy, attempt, callerService)));
        });
    }

    /** Notes that a question was not sent; if the connection had no room, it is asked again over it. */
    void unsent(long now, AttemptIdentifier attempt) {
        if (waits.containsKey(attempt)) {
            askAgainNanos.put(attempt, now + UnsentMessages.SEND_AGAIN_AFTER.toNanos());
        }
    }

    /** Asks again the questions that found no room; the next connection asks for itself. */
    void askAgain(long now, Predicate<NodeName> isConnected) {
        if (askAgainNanos.isEmpty()) {
            return;
        }
        List<AttemptIdentifier> due = askAgainNanos.entrySet().stream()
                .filter(entry -> entry.getValue() <= now)
                .map(Map.Entry::getKey)
                .toList();
        for (AttemptIdentifier attempt : due) {
            askAgainNanos.remove(attempt);
            Wait wait = waits.get(attempt);
            if (wait != null && !wait.atWork() && isConnected.test(wait.peer())) {
                ask(attempt);
            }
        }
    }

    /**
     * Returns the outcome of an attempt that the other node's message shows, empty if the attempt is still at work.
     *
     * @param outcome the outcome in the message, which may be the reply to a question
     */
    Optional<Outcome> outcome(long now, AttemptIdentifier attempt, Outcome outcome) {
        Wait wait = waits.get(attempt);
        if (wait == null || !wait.asked() || !(outcome instanceof Outcome.NotRun notRun)) {
            return Optional.of(outcome);
        }
        if (notRun.reason() == RefusalReason.DUPLICATE) {
            if (!wait.atWork()) {
                waits.put(attempt, wait.atWorkThere());
                log(now, wait, "at_work");
            }
            return Optional.empty();
        }
        return Optional.of(isOfTheAttempt(notRun.reason()) ? outcome : lost(wait.peer()));
    }

    /** Returns whether a refusal is that of the attempt itself: a question is refused for other reasons. */
    private static boolean isOfTheAttempt(RefusalReason reason) {
        return reason == RefusalReason.PEER_UNREACHABLE
                || reason == RefusalReason.COPY_REFUSED
                || reason == RefusalReason.COPY_UNREACHABLE;
    }

    /** Returns the outcome of an attempt at a node that can't answer any more. */
    static Outcome.Unknown lost(NodeName peer) {
        return new Outcome.Unknown(UnknownReason.PEER_LOST, Step.PEER_WAIT, Optional.of(peer));
    }

    /** Notes the outcome of an attempt, which may have waited. */
    void ended(long now, AttemptIdentifier attempt, Outcome outcome) {
        Wait wait = waits.remove(attempt);
        if (wait != null && !wait.atWork()) {
            String state = switch (outcome) {
                case Outcome.Answered _ -> "answered";
                case Outcome.NotRun _ -> "not_run";
                case Outcome.Unknown _ -> "lost";
            };
            log(now, wait, state);
        }
    }

    void cancelled(AttemptIdentifier attempt) {
        waits.remove(attempt);
    }

    /** Returns the attempts that have waited for the whole limit. */
    List<AttemptIdentifier> overdue(long now) {
        if (waits.isEmpty()) {
            return List.of();
        }
        return waits.entrySet().stream()
                .filter(entry -> entry.getValue().untilNanos() <= now)
                .map(Map.Entry::getKey)
                .toList();
    }

    long nextNanos() {
        long next = Long.MAX_VALUE;
        for (Wait wait : waits.values()) {
            next = Math.min(next, wait.untilNanos());
        }
        for (long again : askAgainNanos.values()) {
            next = Math.min(next, again);
        }
        return next;
    }

    private void log(long now, Wait wait, String state) {
        effects.log(new Decision.LinkWait(
                wait.request().arrival().requestName(), wait.peer(), state, now - wait.sinceNanos()));
    }
}
