package org.carawaysill.policy.engine;

import java.time.Duration;
import java.util.Optional;
import org.carawaysill.model.configuration.Classification;
import org.carawaysill.model.identity.CallerName;
import org.carawaysill.model.request.Importance;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.model.request.Priority;
import org.carawaysill.model.request.RefusalReason;
import org.carawaysill.model.request.RequestTerms;
import org.carawaysill.model.request.Step;
import org.carawaysill.policy.admission.CopyAdmission;
import org.carawaysill.policy.event.Event;
import org.carawaysill.policy.retry.RetryCreditLedger;
import org.carawaysill.policy.time.Moment;

/**
 * Accepts the local copy's own calls to deeper services.
 *
 * <p>A call made during a known attempt uses that attempt's ledger, deadline and priority. Any other call, also one of an
 * attempt that has ended, has background importance and no retries. Not thread safe: owned by the policy.
 */
final class CopyCalls {

    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);
    private static final CallerName NO_CALLER = new CallerName("anonymous");
    private static final String NO_OPERATION = "";

    private final ServiceDirectory directory;
    private final CopyAdmission admission;
    private final WorkTable table;
    private final WorkRunner runner;
    private final OutcomeDelivery delivery;
    private final IdentifierSource identifiers;

    CopyCalls(EngineParts parts, WorkRunner runner) {
        directory = parts.directory();
        admission = parts.admission();
        table = parts.table();
        delivery = parts.delivery();
        identifiers = parts.identifiers();
        this.runner = runner;
    }

    void accept(Moment now, Event.CopyCall call) {
        Optional<Work> parent = call.parent().flatMap(table::byAttempt).filter(CopyCalls::isAtCopy);
        WorkOrigin origin = new WorkOrigin.FromCopy(
                call.exchange(),
                parent.map(work -> work.facts().operation()).orElse(NO_OPERATION),
                parent.flatMap(work -> call.parent()));
        if (directory.configuration(call.target()).isEmpty()) {
            refuse(now, origin, RefusalReason.UNKNOWN_SERVICE);
            return;
        }
        CallerName caller = parent.map(work -> work.facts().caller()).orElse(NO_CALLER);
        Optional<Classification> classification = directory.classify(
                call.target(), call.content().method(), call.content().path(), caller);
        if (classification.isEmpty()) {
            refuse(now, origin, RefusalReason.UNKNOWN_OPERATION);
            return;
        }
        RequestFacts facts = facts(now, call, parent, caller, classification.get());
        parent.flatMap(work -> call.parent()).ifPresent(attempt -> admission.deeperCallStarted(now.nanos(), attempt));
        RetryCreditLedger ledger = parent.map(Work::ledger).orElseGet(() -> new RetryCreditLedger(0));
        runner.start(now, new Work(facts, ledger, Work.Scope.DEEPER_SERVICE, origin));
    }

    private RequestFacts facts(
            Moment now, Event.CopyCall call, Optional<Work> parent, CallerName caller, Classification classification) {
        RequestTerms terms = classification.terms();
        long ownDeadline = now.nanos() + terms.deadline().toNanos();
        return new RequestFacts(
                parent.map(work -> work.facts().request()).orElseGet(identifiers::request),
                call.target(),
                classification.operation().name(),
                caller,
                parent.map(work -> work.facts().priority()).orElseGet(() -> Priority.of(Importance.BACKGROUND, caller)),
                terms.idempotent(),
                Optional.empty(),
                now.nanos(),
                parent.map(work -> Math.min(work.facts().deadlineNanos(), ownDeadline))
                        .orElse(ownDeadline),
                parent.map(work -> work.facts().depth() + 1).orElse(1),
                call.content());
    }

    private static boolean isAtCopy(Work work) {
        return work.current()
                .filter(attempt -> attempt instanceof Attempt.AtCopy)
                .isPresent();
    }

    private void refuse(Moment now, WorkOrigin origin, RefusalReason reason) {
        Outcome outcome = new Outcome.NotRun(reason, RETRY_AFTER, Step.ROUTING, Optional.empty());
        delivery.deliver(now.nanos(), origin, NO_OPERATION, outcome, 0);
    }
}
