package org.carawaysill.policy.engine;

import java.util.Optional;
import java.util.OptionalLong;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.model.request.RetryReason;
import org.carawaysill.policy.retry.Backoff;
import org.carawaysill.policy.retry.RetryBudget;
import org.carawaysill.policy.time.Moment;

/**
 * Decides whether and when a piece of work is retried.
 *
 * <p>Invariant: every retry spends one credit of the request's ledger. Not thread safe: owned by the policy.
 */
final class RetryGate {

    private static final long USUAL_NANOS = 5_000_000L;

    private final NodeIdentity identity;
    private final ControlPlane control;
    private final RetryBudget budget;
    private final Backoff backoff;
    private final Outbox out;

    RetryGate(NodeIdentity identity, ControlPlane control, RetryBudget budget, Backoff backoff, Outbox out) {
        this.identity = identity;
        this.control = control;
        this.budget = budget;
        this.backoff = backoff;
        this.out = out;
    }

    /** Counts a first attempt for the budget; work that another node requested was counted there. */
    void firstAttempt(Moment now, Work work) {
        if (!mayTryElsewhere(work)) {
            return;
        }
        budget.recordFirstAttempt(
                now.nanos(), work.facts().caller(), work.facts().service());
    }

    /** Returns when to retry, or empty if the outcome is final. */
    Optional<Long> retryAt(Moment now, Work work, Outcome outcome, boolean draining) {
        if (work.finished() || !mayTryElsewhere(work)) {
            return Optional.empty();
        }
        Optional<RetryReason> reason = RetryDecision.reason(work.facts().idempotent(), outcome);
        if (reason.isEmpty() || !hasAnotherCopy(now, work)) {
            return Optional.empty();
        }
        OptionalLong delay = delay(now, work, reason.get());
        if (delay.isEmpty()
                || !withinBudget(now, work, reason.get())
                || !work.ledger().spendRetry()) {
            return Optional.empty();
        }
        work.countRetry();
        out.count(reason.get());
        return Optional.of(now.nanos() + delay.getAsLong());
    }

    private static boolean mayTryElsewhere(Work work) {
        return switch (work.scope()) {
            case LOCAL_COPY, AT_HOLDER, AT_STARTER -> false;
            case OWN_SERVICE, HELD, DEEPER_SERVICE -> true;
        };
    }

    private boolean hasAnotherCopy(Moment now, Work work) {
        return control.choose(
                        now, work.facts().service(), work.tried(), work.facts().priority())
                .filter(node -> !node.equals(identity.node()))
                .isPresent();
    }

    /** Retries at once after a refusal, which cost the copy nothing; backs off after a lost answer or an error, since the copy may be overloaded. */
    private OptionalLong delay(Moment now, Work work, RetryReason reason) {
        long remaining = work.facts().deadlineNanos() - now.nanos();
        return switch (reason) {
            case NOT_RUN, COPY_RATE_LIMITED, UNREACHABLE -> remaining > 0 ? OptionalLong.of(0) : OptionalLong.empty();
            case ANSWER_LOST, COPY_ERROR -> backoff.delay(work.retries() + 1, remaining, USUAL_NANOS);
        };
    }

    private boolean withinBudget(Moment now, Work work, RetryReason reason) {
        return switch (reason) {
            case NOT_RUN, COPY_RATE_LIMITED, UNREACHABLE -> true;
            case ANSWER_LOST, COPY_ERROR ->
                budget.mayRetry(now.nanos(), work.facts().caller(), work.facts().service());
        };
    }
}
