package org.carawaysill.policy.fleet;

import java.time.Duration;
import java.util.Optional;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.model.request.RefusalReason;
import org.carawaysill.model.request.Step;
import org.carawaysill.policy.fleet.copy.CopyGate;
import org.carawaysill.policy.fleet.copy.LocalRun;
import org.carawaysill.policy.message.PeerMessage.CopyAnswer;
import org.carawaysill.policy.message.PeerMessage.CopyRequest;
import org.carawaysill.policy.message.PeerMessage.LoadReport;

/**
 * Sends the outcomes of requests for the local copy to the nodes that sent them, and logs failures.
 *
 * <p>Not thread safe: owned by the policy.
 */
final class RunAnswers {

    private static final Duration SHORTEST_RETRY_AFTER = Duration.ofMillis(50);

    private final Effects effects;
    private final CopyGate gate;
    private final CopyNotices notices;
    private LocalSender localSender = (_, _) -> {};

    /** Receives the outcomes of requests that entered at this node. */
    @FunctionalInterface
    interface LocalSender {

        void answered(long now, CopyAnswer answer);
    }

    RunAnswers(Effects effects, CopyGate gate, CopyNotices notices) {
        this.effects = effects;
        this.gate = gate;
        this.notices = notices;
    }

    void localSender(LocalSender sender) {
        localSender = sender;
    }

    void refuse(long now, LocalRun run, RefusalReason reason, Step step) {
        Outcome.NotRun refusal = refusal(now, reason, step);
        logFailure(now, run, refusal);
        reply(now, run, refusal);
    }

    Outcome.NotRun refusal(long now, RefusalReason reason, Step step) {
        Duration wait = Duration.ofNanos(gate.expectedWaitNanos(now));
        Duration retryAfter = wait.compareTo(SHORTEST_RETRY_AFTER) > 0 ? wait : SHORTEST_RETRY_AFTER;
        return new Outcome.NotRun(reason, retryAfter, step, Optional.empty());
    }

    void reply(long now, LocalRun run, Outcome outcome) {
        if (run.hasSenderEnded()) {
            return;
        }
        CopyRequest request = run.request();
        CopyAnswer answer = new CopyAnswer(
                request.attempt(), outcome, gate.load(now), run.times().list(), notices.isLeaving(request.copy()));
        run.sender()
                .ifPresentOrElse(
                        sender -> effects.add(new FleetEffect.SendToPeer(sender, answer)),
                        () -> localSender.answered(now, answer));
    }

    void logFailure(long now, LocalRun run, Outcome outcome) {
        LoadReport load = gate.load(now);
        effects.log(new Decision.FailedAtCopy(
                run.request().requestName(),
                run.request().copy(),
                outcome,
                now - run.arrivedNanos(),
                load.inFlight(),
                load.queued(),
                load.limit()));
    }
}
