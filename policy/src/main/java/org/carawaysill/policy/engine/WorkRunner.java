package org.carawaysill.policy.engine;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.carawaysill.model.identity.AttemptIdentifier;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.request.AnswerContent;
import org.carawaysill.model.request.Invariant;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.model.request.RefusalReason;
import org.carawaysill.model.request.Step;
import org.carawaysill.model.request.UnknownReason;
import org.carawaysill.policy.admission.Candidate;
import org.carawaysill.policy.admission.CopyAdmission;
import org.carawaysill.policy.admission.Finish;
import org.carawaysill.policy.admission.Verdict;
import org.carawaysill.policy.effect.Effect;
import org.carawaysill.policy.message.PeerMessage;
import org.carawaysill.policy.time.Moment;

/**
 * Runs a piece of work to its outcome: one attempt after another, at the local copy or at another node.
 *
 * <p>Invariants: a piece of work has one attempt at a time; an outcome of an attempt that has ended changes nothing; work
 * of which any attempt may have run is never reported as not run. Not thread safe: owned by the policy.
 */
final class WorkRunner {

    private static final int SERVICE_UNAVAILABLE = 503;
    private static final long NOT_LEAVING = Long.MAX_VALUE;
    private static final long LEAVING_GRACE_NANOS = Duration.ofSeconds(5).toNanos();
    private static final Duration RETRY_AFTER = Duration.ofMillis(100);

    private final NodeIdentity identity;
    private final WorkTable table;
    private final Timers timers;
    private final Outbox out;
    private final CopyAdmission admission;
    private final ControlPlane control;
    private final Ownership ownership;
    private final ClientRetries clientRetries;
    private final PeerAttempts peerAttempts;
    private final RetryGate retryGate;
    private final OutcomeDelivery delivery;
    private final IdentifierSource identifiers;
    private boolean draining;
    private long leavingSinceNanos = NOT_LEAVING;

    WorkRunner(EngineParts parts) {
        identity = parts.identity();
        table = parts.table();
        timers = parts.timers();
        out = parts.out();
        admission = parts.admission();
        control = parts.control();
        ownership = parts.ownership();
        clientRetries = parts.clientRetries();
        peerAttempts = new PeerAttempts(parts);
        retryGate = parts.retryGate();
        delivery = parts.delivery();
        identifiers = parts.identifiers();
    }

    void drain(long now) {
        draining = true;
        leavingSinceNanos = now;
    }

    /** Starts work that is not yet in the table. */
    void start(Moment now, Work work) {
        table.add(work);
        retryGate.firstAttempt(now, work);
        timers.add(work.facts().deadlineNanos(), work);
        startNextAttempt(now, work);
    }

    private void startNextAttempt(Moment now, Work work) {
        work.retryDueNanos(Long.MAX_VALUE);
        boolean local = switch (work.scope()) {
            case LOCAL_COPY -> true;
            case OWN_SERVICE, HELD -> !draining && !work.tried().contains(identity.node());
            case AT_HOLDER, AT_STARTER, DEEPER_SERVICE -> false;
        };
        if (local) {
            offerToLocalCopy(now, work);
        } else {
            peerAttempts.start(now, work).ifPresent(outcome -> finish(now, work, outcome));
        }
    }

    private void offerToLocalCopy(Moment now, Work work) {
        RequestFacts facts = work.facts();
        Attempt attempt = new Attempt.Queued(identifiers.attempt());
        work.tried().add(identity.node());
        table.startAttempt(work, attempt);
        Candidate candidate = new Candidate(
                attempt.identifier(),
                facts.operation(),
                facts.priority(),
                facts.idempotent(),
                facts.depth(),
                now.nanos(),
                facts.deadlineNanos());
        apply(now, admission.offer(now.nanos(), candidate));
    }

    /** Applies verdicts of the local copy's admission control. */
    void apply(Moment now, List<Verdict> verdicts) {
        for (Verdict verdict : verdicts) {
            switch (verdict) {
                case Verdict.Start start -> handToCopy(now, start.attempt());
                case Verdict.Refuse refuse ->
                    ended(
                            now,
                            refuse.attempt(),
                            new Outcome.NotRun(
                                    refuse.reason(),
                                    refuse.retryAfter(),
                                    Step.ADMISSION,
                                    Optional.of(identity.node())));
                case Verdict.CancelRunning cancel -> {
                    out.add(new Effect.CancelAtCopy(cancel.attempt()));
                    ended(now, cancel.attempt(), unknown(UnknownReason.EARLIER_ATTEMPT, Step.COPY_WAIT));
                }
            }
        }
    }

    private void handToCopy(Moment now, AttemptIdentifier attempt) {
        Optional<Work> found = table.byAttempt(attempt);
        if (found.isEmpty()) {
            apply(now, admission.withdraw(now.nanos(), attempt));
            return;
        }
        Work work = found.get();
        // A holder that was paused while the work was queued may resume with an expired lease, while another node has
        // become the holder. The check right before the write keeps it from running what it may no longer own.
        if (work.held() && !ownership.mayHandToCopy(now)) {
            apply(now, admission.withdraw(now.nanos(), attempt));
            finish(now, work, notRun(RefusalReason.NO_LEASE, Step.OWNERSHIP));
            return;
        }
        countViolations(now, work);
        work.current(Optional.of(new Attempt.AtCopy(attempt)));
        out.add(new Effect.SendToCopy(
                attempt, work.facts().content(), work.facts().deadlineNanos()));
    }

    /** Counts violations of invariants that earlier checks should have prevented. */
    private void countViolations(Moment now, Work work) {
        if (!work.facts().idempotent() && work.mayHaveRun()) {
            out.count(Invariant.AT_MOST_ONCE);
        }
        if (work.facts().arrivedNanos() - leavingSinceNanos > LEAVING_GRACE_NANOS && leavingSinceNanos != NOT_LEAVING) {
            out.count(Invariant.NO_WORK_WHEN_LEAVING);
        }
    }

    /** Processes the local copy's answer, or the failure to get one. */
    void copyAnswered(Moment now, AttemptIdentifier attempt, Outcome outcome) {
        Finish finish = switch (outcome) {
            case Outcome.Answered(AnswerContent answer) -> finish(answer.status());
            case Outcome.NotRun notRun -> Finish.FAILED;
            case Outcome.Unknown unknown -> Finish.LOST;
        };
        List<Verdict> verdicts = admission.finished(now.nanos(), attempt, finish);
        ended(now, attempt, outcome);
        apply(now, verdicts);
    }

    /** Counts a 503 as a failure: a copy that sheds load responds fast, would look fast and would attract more work. */
    private static Finish finish(int status) {
        return status == SERVICE_UNAVAILABLE ? Finish.FAILED : Finish.ANSWERED;
    }

    /** Processes another node's answer; a late or duplicate one, or one from a node that was not asked, is ignored. */
    void peerAnswered(Moment now, NodeName from, PeerMessage.PeerAnswer answer) {
        Optional<Work> found = table.byAttempt(answer.attempt());
        if (found.isEmpty()
                || !(found.get().current().orElseThrow()
                        instanceof Attempt.AtPeer(var identifier, NodeName peer, long sent))
                || !peer.equals(from)) {
            return;
        }
        control.answered(now, from, answer.load(), now.nanos() - sent);
        found.get().ledger().returnUnspent(answer.attempt(), answer.unspentCredits());
        ended(now, answer.attempt(), withPeer(from, answer.outcome()));
    }

    /** Adds the answering peer to an outcome; one that the peer passed on keeps the node at which it arose. */
    private static Outcome withPeer(NodeName peer, Outcome outcome) {
        return switch (outcome) {
            case Outcome.Answered answered -> answered;
            case Outcome.NotRun(var reason, var retryAfter, var step, var at) ->
                new Outcome.NotRun(reason, retryAfter, step, at.or(() -> Optional.of(peer)));
            case Outcome.Unknown(var reason, var step, var at) ->
                new Outcome.Unknown(reason, step, at.or(() -> Optional.of(peer)));
        };
    }

    /** Processes the failure to write a message to another node at all. */
    void unsent(Moment now, NodeName peer, AttemptIdentifier attempt) {
        table.byAttempt(attempt).ifPresent(work -> {
            control.failed(now, peer);
            work.ledger().returnUnspent(attempt, Integer.MAX_VALUE);
            Outcome outcome = work.scope() == Work.Scope.AT_HOLDER
                    ? new Outcome.Unknown(UnknownReason.HOLDER_UNREACHABLE, Step.PEER_SEND, Optional.of(peer))
                    : new Outcome.NotRun(
                            RefusalReason.PEER_UNREACHABLE, RETRY_AFTER, Step.PEER_SEND, Optional.of(peer));
            ended(now, attempt, outcome);
        });
    }

    /** Ends all attempts at another node after the connection to it was lost. */
    void peerLost(Moment now, NodeName peer) {
        for (Work work : table.atPeer(peer)) {
            attemptLost(now, work, peer);
        }
    }

    /** Ends the attempts of idempotent work at a suspected node; other work continues to wait for it. */
    void peerSuspected(Moment now, NodeName peer) {
        for (Work work : table.atPeer(peer)) {
            if (work.facts().idempotent()) {
                out.add(new Effect.SendToPeer(
                        peer,
                        new PeerMessage.CancelAttempt(
                                work.current().orElseThrow().identifier())));
                attemptLost(now, work, peer);
            }
        }
    }

    private void attemptLost(Moment now, Work work, NodeName peer) {
        AttemptIdentifier attempt = work.current().orElseThrow().identifier();
        control.failed(now, peer);
        work.ledger().recordLostAttempt(attempt);
        ended(now, attempt, new Outcome.Unknown(UnknownReason.PEER_LOST, Step.PEER_WAIT, Optional.of(peer)));
    }

    private void ended(Moment now, AttemptIdentifier attempt, Outcome outcome) {
        Optional<Work> found = table.byAttempt(attempt);
        if (found.isEmpty()) {
            ownership.lateRunEnded(attempt, outcome);
            return;
        }
        Work work = found.get();
        table.endAttempt(work);
        if (!(outcome instanceof Outcome.NotRun)) {
            work.markMayHaveRun();
        }
        Optional<Long> retryAt = retryGate.retryAt(now, work, outcome, draining);
        if (retryAt.isEmpty()) {
            finish(now, work, outcome);
        } else if (retryAt.get() <= now.nanos()) {
            startNextAttempt(now, work);
        } else {
            work.retryDueNanos(retryAt.get());
            timers.add(retryAt.get(), work);
        }
    }

    /** Handles the deadline of a piece of work, or starts its next attempt. */
    void due(Moment now, Work work) {
        if (now.nanos() >= work.facts().deadlineNanos()) {
            abandon(
                    now,
                    work,
                    work.current()
                            .map(WorkRunner::atDeadline)
                            .orElseGet(() -> notRun(RefusalReason.DEADLINE, Step.ADMISSION)));
        } else if (now.nanos() >= work.retryDueNanos()) {
            startNextAttempt(now, work);
        }
    }

    private static Outcome atDeadline(Attempt attempt) {
        return switch (attempt) {
            case Attempt.Queued queued -> notRun(RefusalReason.DEADLINE, Step.QUEUE);
            case Attempt.AtCopy atCopy -> unknown(UnknownReason.DEADLINE, Step.COPY_WAIT);
            case Attempt.AtPeer atPeer ->
                new Outcome.Unknown(UnknownReason.DEADLINE, Step.PEER_WAIT, Optional.of(atPeer.peer()));
        };
    }

    /** Ends work whose caller no longer waits; a run at the copy that is not idempotent is not cancelled there. */
    void abandon(Moment now, Work work, Outcome outcome) {
        work.current().ifPresent(attempt -> cancel(now, work, attempt));
        if (!work.finished()) {
            finish(now, work, outcome);
        }
    }

    private void cancel(Moment now, Work work, Attempt attempt) {
        table.endAttempt(work);
        switch (attempt) {
            case Attempt.Queued queued -> apply(now, admission.withdraw(now.nanos(), queued.identifier()));
            case Attempt.AtCopy atCopy -> {
                work.markMayHaveRun();
                if (!work.facts().idempotent()) {
                    ownership.recordLateRun(work, atCopy.identifier());
                } else {
                    out.add(new Effect.CancelAtCopy(atCopy.identifier()));
                    apply(now, admission.withdraw(now.nanos(), atCopy.identifier()));
                }
            }
            case Attempt.AtPeer atPeer -> {
                work.markMayHaveRun();
                work.ledger().recordLostAttempt(atPeer.identifier());
                control.withdrawn(now, atPeer.peer());
                out.add(new Effect.SendToPeer(atPeer.peer(), new PeerMessage.CancelAttempt(atPeer.identifier())));
            }
        }
    }

    /** Removes an origin; work that others wait for, or that must not be interrupted, continues. */
    void originClosed(Moment now, Work work, WorkOrigin origin) {
        table.removeOrigin(origin);
        work.origins().remove(origin);
        boolean atCopy = work.current()
                .filter(attempt -> attempt instanceof Attempt.AtCopy)
                .isPresent();
        if (work.origins().isEmpty() && (work.facts().idempotent() || !atCopy)) {
            abandon(now, work, notRun(RefusalReason.CANCELLED, Step.INGRESS));
        }
    }

    private void finish(Moment now, Work work, Outcome outcome) {
        // A refusal of the last attempt does not cover the earlier ones. Reporting "not run" would be false, and a
        // caller that trusts it would run the work twice.
        Outcome reported = outcome instanceof Outcome.NotRun && work.mayHaveRun()
                ? unknown(UnknownReason.EARLIER_ATTEMPT, Step.PEER_WAIT)
                : outcome;
        table.remove(work);
        work.finish();
        ownership.finished(work, reported);
        clientRetries.finished(work);
        delivery.deliver(now.nanos(), work, reported);
    }

    private static Outcome notRun(RefusalReason reason, Step step) {
        return new Outcome.NotRun(reason, RETRY_AFTER, step, Optional.empty());
    }

    private static Outcome unknown(UnknownReason reason, Step step) {
        return new Outcome.Unknown(reason, step, Optional.empty());
    }
}
