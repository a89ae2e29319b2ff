package org.carawaysill.policy.engine;

import org.carawaysill.model.request.Outcome;
import org.carawaysill.policy.effect.Effect;
import org.carawaysill.policy.message.PeerMessage;

/**
 * Delivers the outcome of a piece of work to all origins that wait for it.
 *
 * <p>Not thread safe: owned by the policy.
 */
final class OutcomeDelivery {

    private final Outbox out;
    private final LoadView loadView;

    OutcomeDelivery(Outbox out, LoadView loadView) {
        this.out = out;
        this.loadView = loadView;
    }

    void deliver(long now, Work work, Outcome outcome) {
        for (WorkOrigin origin : work.origins()) {
            deliver(now, origin, work.facts().operation(), outcome, unspent(work, origin));
        }
    }

    /**
     * Returns the unspent credits to give back. They go back once and are then no longer here: neither a second waiting
     * origin nor a late call of the copy may spend them again. A node that started a request with an idempotency key keeps
     * them for the caller's repeats.
     */
    private static int unspent(Work work, WorkOrigin origin) {
        if (work.scope() != Work.Scope.LOCAL_COPY) {
            return 0;
        }
        return switch (origin) {
            case WorkOrigin.FromPeer peer -> work.ledger().grantForAttempt(peer.attempt(), Integer.MAX_VALUE);
            case WorkOrigin.FromCaller caller -> 0;
            case WorkOrigin.FromCopy copy -> 0;
        };
    }

    void deliver(long now, WorkOrigin origin, String operation, Outcome outcome, int unspentCredits) {
        switch (outcome) {
            case Outcome.Answered answered -> {}
            case Outcome.NotRun notRun -> out.count(notRun.reason());
            case Outcome.Unknown unknown -> out.count(unknown.reason());
        }
        switch (origin) {
            case WorkOrigin.FromCaller caller -> out.add(new Effect.AnswerExchange(caller.exchange(), outcome));
            case WorkOrigin.FromCopy copy -> {
                boolean answered = outcome instanceof Outcome.Answered;
                copy.parent().ifPresent(attempt -> loadView.deeperCallEnded(now, attempt, answered));
                out.add(new Effect.AnswerExchange(copy.exchange(), outcome));
            }
            case WorkOrigin.FromPeer peer ->
                out.add(new Effect.SendToPeer(
                        peer.peer(),
                        new PeerMessage.PeerAnswer(
                                peer.attempt(),
                                outcome,
                                unspentCredits,
                                loadView.load(),
                                loadView.cuts(now, operation))));
        }
    }
}
