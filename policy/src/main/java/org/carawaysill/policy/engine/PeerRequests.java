package org.carawaysill.policy.engine;

import java.time.Duration;
import java.util.Optional;
import org.carawaysill.model.identity.AttemptIdentifier;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.model.request.RefusalReason;
import org.carawaysill.model.request.Step;
import org.carawaysill.model.request.UnknownReason;
import org.carawaysill.policy.message.PeerMessage.PeerRequest;
import org.carawaysill.policy.message.PeerMessage.Purpose;
import org.carawaysill.policy.retry.RetryCreditLedger;
import org.carawaysill.policy.time.Moment;

/**
 * Accepts requests that other nodes send.
 *
 * <p>Invariant: a message that is delivered twice is processed once. Not thread safe: owned by the policy.
 */
final class PeerRequests {

    private static final Duration NOT_IDEMPOTENT_RETENTION = Duration.ofSeconds(30);
    private static final Duration IDEMPOTENT_RETENTION = Duration.ofSeconds(5);
    private static final Duration RETRY_AFTER = Duration.ofMillis(200);

    private final NodeIdentity identity;
    private final ControlPlane control;
    private final Ownership ownership;
    private final ClientRetries clientRetries;
    private final WorkTable table;
    private final WorkRunner runner;
    private final OutcomeDelivery delivery;
    private final SeenAttempts seenNotIdempotent = new SeenAttempts(NOT_IDEMPOTENT_RETENTION);
    private final SeenAttempts seenIdempotent = new SeenAttempts(IDEMPOTENT_RETENTION);
    private boolean draining;

    PeerRequests(EngineParts parts, WorkRunner runner) {
        identity = parts.identity();
        control = parts.control();
        ownership = parts.ownership();
        clientRetries = parts.clientRetries();
        table = parts.table();
        delivery = parts.delivery();
        this.runner = runner;
    }

    void drain() {
        draining = true;
    }

    void accept(Moment now, NodeName from, PeerRequest request) {
        if (table.byPeer(from, request.attempt()).isPresent() || seenBefore(now, from, request)) {
            return;
        }
        WorkOrigin origin = new WorkOrigin.FromPeer(from, request.attempt());
        refusal(request)
                .ifPresentOrElse(
                        reason -> delivery.deliver(
                                now.nanos(),
                                origin,
                                request.operation(),
                                refused(request, reason),
                                request.retryCredits()),
                        () -> start(now, origin, request));
    }

    /** Returns the outcome of a refusal; as the holder this node may say "not run" only after a look into its table. */
    private Outcome refused(PeerRequest request, RefusalReason reason) {
        Optional<NodeName> self = Optional.of(identity.node());
        return request.purpose() == Purpose.HOLD && !request.idempotent()
                ? new Outcome.Unknown(UnknownReason.HOLDER_UNREACHABLE, Step.OWNERSHIP, self)
                : new Outcome.NotRun(reason, RETRY_AFTER, Step.ADMISSION, self);
    }

    /**
     * Returns whether an attempt has arrived before. A duplicate that arrives after the first was answered would run again
     * what must run at most once, or run what was reported as not run. Its sender already has an answer and waits for no
     * other, so the duplicate is dropped. Idempotent attempts are kept for a shorter time, since there are far more of them.
     */
    private boolean seenBefore(Moment now, NodeName from, PeerRequest request) {
        SeenAttempts seen = request.idempotent() ? seenIdempotent : seenNotIdempotent;
        return !seen.add(now.nanos(), new WorkOrigin.FromPeer(from, request.attempt()));
    }

    private Optional<RefusalReason> refusal(PeerRequest request) {
        if (!request.service().equals(identity.service())) {
            return Optional.of(RefusalReason.UNKNOWN_SERVICE);
        }
        if (draining) {
            return Optional.of(RefusalReason.DRAINING);
        }
        if (!control.readyToServe()) {
            return Optional.of(RefusalReason.NO_CONFIGURATION);
        }
        return request.remainingNanos() <= 0 ? Optional.of(RefusalReason.DEADLINE) : Optional.empty();
    }

    private void start(Moment now, WorkOrigin origin, PeerRequest request) {
        RequestFacts facts = new RequestFacts(
                request.request(),
                request.service(),
                request.operation(),
                request.caller(),
                request.priority(),
                request.idempotent(),
                request.key(),
                now.nanos(),
                now.nanos() + request.remainingNanos(),
                request.depth(),
                request.content());
        if (request.purpose() == Purpose.HOLD) {
            hold(now, origin, facts, request.retryCredits());
        } else {
            RetryCreditLedger ledger = new RetryCreditLedger(request.retryCredits());
            runner.start(now, new Work(facts, ledger, Work.Scope.LOCAL_COPY, origin));
        }
    }

    private void hold(Moment now, WorkOrigin origin, RequestFacts facts, int credits) {
        if (facts.idempotent()) {
            clientRetries.startHere(now, origin, facts, credits);
        } else {
            ownership.hold(now, origin, facts, credits);
        }
    }

    /** Processes a cancellation; work that other origins wait for, or that must not be interrupted, continues. */
    void cancelled(Moment now, NodeName from, AttemptIdentifier attempt) {
        table.byPeer(from, attempt).ifPresent(work -> {
            WorkOrigin origin = new WorkOrigin.FromPeer(from, attempt);
            runner.originClosed(now, work, origin);
        });
    }
}
