package org.carawaysill.policy.engine;

import java.util.Optional;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.model.request.RefusalReason;
import org.carawaysill.model.request.RetryReason;

/**
 * Decides whether an attempt with a given outcome may be retried at all, and why; credits, budget and the availability of
 * another copy are checked afterwards.
 *
 * <p>Immutable and thread safe.
 */
final class RetryDecision {

    private static final int INTERNAL_ERROR = 500;
    private static final int SERVICE_UNAVAILABLE = 503;

    private RetryDecision() {}

    static Optional<RetryReason> reason(boolean idempotent, Outcome outcome) {
        return switch (outcome) {
            case Outcome.Answered answered ->
                afterAnswer(idempotent, answered.content().status());
            case Outcome.NotRun notRun -> afterRefusal(notRun.reason());
            case Outcome.Unknown unknown -> idempotent ? Optional.of(RetryReason.ANSWER_LOST) : Optional.empty();
        };
    }

    /** Excludes gateway errors: they come from a deeper hop that used its own retries, which a retry would multiply. */
    private static Optional<RetryReason> afterAnswer(boolean idempotent, int status) {
        boolean copyFailed = status == INTERNAL_ERROR || status == SERVICE_UNAVAILABLE;
        return idempotent && copyFailed ? Optional.of(RetryReason.COPY_ERROR) : Optional.empty();
    }

    private static Optional<RetryReason> afterRefusal(RefusalReason reason) {
        return switch (reason) {
            case QUEUE_FULL, EVICTED, OVERLOAD, DRAINING, COPY_REFUSED, RING_FULL, NO_CONFIGURATION ->
                Optional.of(RetryReason.NOT_RUN);
            case PEER_UNREACHABLE, COPY_UNREACHABLE -> Optional.of(RetryReason.UNREACHABLE);
            case UNKNOWN_OPERATION,
                    UNKNOWN_SERVICE,
                    BAD_REQUEST,
                    DEADLINE,
                    OVERLOAD_BELOW,
                    CREDITS_SPENT,
                    BUDGET_SPENT,
                    NO_COPY,
                    HOLDER_UNREACHABLE,
                    NO_LEASE,
                    IDENTIFIER_TOO_OLD,
                    DUPLICATE,
                    HOLDER_FULL,
                    CANCELLED,
                    QUARANTINED,
                    SUSPECTED,
                    COPY_RATE_LIMITED,
                    KEY_MISSING,
                    KEY_UNKNOWN,
                    KEY_UNVERIFIED,
                    OVER_ALLOWANCE -> Optional.empty();
        };
    }
}
