package org.carawaysill.policy.engine;

import java.time.Duration;
import java.util.Optional;
import org.carawaysill.model.configuration.Classification;
import org.carawaysill.model.identity.RequestIdentifier;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.model.request.Priority;
import org.carawaysill.model.request.RefusalReason;
import org.carawaysill.model.request.RequestTerms;
import org.carawaysill.model.request.Step;
import org.carawaysill.model.request.UnknownReason;
import org.carawaysill.policy.admission.ChainCuts;
import org.carawaysill.policy.admission.ChainRefusal;
import org.carawaysill.policy.event.Event;
import org.carawaysill.policy.ownership.KeyReader;
import org.carawaysill.policy.ownership.RequestKey;
import org.carawaysill.policy.retry.RetryCreditLedger;
import org.carawaysill.policy.time.Moment;

/**
 * Accepts callers' requests at the entry of the call chain.
 *
 * <p>Invariant: each request is either answered or becomes work, exactly once. Not thread safe: owned by the policy.
 */
final class CallerRequests {

    private static final String NO_OPERATION = "";
    private static final Duration DRAINING_RETRY_AFTER = Duration.ofMillis(100);
    private static final Duration NOT_READY_RETRY_AFTER = Duration.ofSeconds(1);

    private final NodeIdentity identity;
    private final ServiceDirectory directory;
    private final ControlPlane control;
    private final ChainCuts chainCuts;
    private final Ownership ownership;
    private final ClientRetries clientRetries;
    private final WorkRunner runner;
    private final OutcomeDelivery delivery;
    private final IdentifierSource identifiers;
    private long refuseFromNanos = Long.MAX_VALUE;

    CallerRequests(EngineParts parts, WorkRunner runner) {
        identity = parts.identity();
        directory = parts.directory();
        control = parts.control();
        chainCuts = parts.chainCuts();
        ownership = parts.ownership();
        clientRetries = parts.clientRetries();
        delivery = parts.delivery();
        identifiers = parts.identifiers();
        this.runner = runner;
    }

    /** Refuses new requests from a time on, since callers that never stop would keep the node from stopping. */
    void refuseFrom(long nanos) {
        refuseFromNanos = nanos;
    }

    void accept(Moment now, Event.CallerRequest request) {
        WorkOrigin origin = new WorkOrigin.FromCaller(request.exchange());
        if (now.nanos() >= refuseFromNanos) {
            refuseWithoutHolder(now, origin, request, RefusalReason.DRAINING, DRAINING_RETRY_AFTER);
            return;
        }
        if (!control.readyToServe()) {
            refuseWithoutHolder(now, origin, request, RefusalReason.NO_CONFIGURATION, NOT_READY_RETRY_AFTER);
            return;
        }
        Optional<Classification> classification = directory.classify(
                identity.service(),
                request.content().method(),
                request.content().path(),
                request.caller());
        if (classification.isEmpty()) {
            refuse(now, origin, NO_OPERATION, RefusalReason.UNKNOWN_OPERATION, NOT_READY_RETRY_AFTER);
            return;
        }
        accept(now, request, origin, classification.get());
    }

    private void accept(Moment now, Event.CallerRequest request, WorkOrigin origin, Classification classification) {
        RequestTerms terms = classification.terms();
        String operation = classification.operation().name();
        Priority priority = Priority.of(terms.importance(), request.caller());
        Optional<ChainRefusal> refusal = chainCuts.check(now.nanos(), operation, priority);
        if (refusal.isPresent() && !onlyHolderKnows(request, terms)) {
            refuse(
                    now,
                    origin,
                    operation,
                    RefusalReason.OVERLOAD_BELOW,
                    refusal.get().retryAfter());
            return;
        }
        Optional<RequestKey> key = request.key().map(KeyReader::read);
        RequestFacts facts = new RequestFacts(
                key.map(RequestKey::request).orElseGet(identifiers::request),
                identity.service(),
                operation,
                request.caller(),
                priority,
                terms.idempotent(),
                request.key(),
                now.nanos(),
                now.nanos() + terms.deadline().toNanos(),
                0,
                request.content());
        dispatch(now, origin, facts, terms.retryCredits());
    }

    private void dispatch(Moment now, WorkOrigin origin, RequestFacts facts, int credits) {
        RequestIdentifier request = facts.request();
        if (facts.key().isEmpty()) {
            // Without a key no repeat can be recognised, so only this node knows of the work and starts it only once.
            runner.start(now, new Work(facts, new RetryCreditLedger(credits), Work.Scope.OWN_SERVICE, origin));
        } else if (facts.idempotent()) {
            clientRetries.dispatch(now, origin, facts, credits);
        } else if (ownership.holder(request).filter(identity.node()::equals).isPresent()) {
            ownership.hold(now, origin, facts, credits);
        } else {
            runner.start(now, new Work(facts, new RetryCreditLedger(credits), Work.Scope.AT_HOLDER, origin));
        }
    }

    /** Returns whether only the holder knows if an earlier attempt may have run; the holder then refuses by itself. */
    private static boolean onlyHolderKnows(Event.CallerRequest request, RequestTerms terms) {
        return request.key().isPresent() && !terms.idempotent();
    }

    /**
     * Refuses without asking the holder. An earlier attempt under the same key may have run: "not run" could be false, and
     * a caller that trusts it would run the work twice under a new key.
     */
    private void refuseWithoutHolder(
            Moment now, WorkOrigin origin, Event.CallerRequest request, RefusalReason reason, Duration retryAfter) {
        if (request.key().isEmpty()) {
            refuse(now, origin, NO_OPERATION, reason, retryAfter);
        } else {
            Outcome outcome = new Outcome.Unknown(UnknownReason.HOLDER_UNREACHABLE, Step.INGRESS, Optional.empty());
            delivery.deliver(now.nanos(), origin, NO_OPERATION, outcome, 0);
        }
    }

    private void refuse(Moment now, WorkOrigin origin, String operation, RefusalReason reason, Duration retryAfter) {
        Outcome outcome = new Outcome.NotRun(reason, retryAfter, Step.INGRESS, Optional.empty());
        delivery.deliver(now.nanos(), origin, operation, outcome, 0);
    }
}
