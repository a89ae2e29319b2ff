package org.carawaysill.policy.fleet;

import java.time.Duration;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.model.request.RefusalReason;
import org.carawaysill.model.request.RetryReason;
import org.carawaysill.model.request.UnknownReason;
import org.carawaysill.policy.fleet.copy.Copy;

/**
 * Rules for what the outcome of an attempt says about its copy, and whether another attempt may follow. Stateless and
 * thread safe.
 */
final class AttemptRules {

    /** The lowest status code at which a copy's answer counts as a failure. */
    static final int SERVER_ERROR = 500;

    /**
     * The maximum number of sends, each to another copy. The route limits only attempts that may have reached a copy.
     */
    private static final int MAXIMUM_SENDS = 4;

    /**
     * The least time to the deadline at which a retry is useful: two hops and the shortest service time. With less time
     * left, a retry would only waste work.
     */
    private static final long MINIMUM_RETRY_TIME_NANOS = Duration.ofMillis(20).toNanos();

    private AttemptRules() {}

    /** Records the outcome in the statistics of the copy; a refusal by the copy's node says nothing about the copy. */
    static void recordOutcome(long now, Copy copy, Outcome outcome) {
        switch (outcome) {
            case Outcome.Answered _ -> copy.ended(now, isSuccess(outcome));
            case Outcome.NotRun notRun when notRun.reason() == RefusalReason.COPY_REFUSED -> copy.ended(now, false);
            case Outcome.NotRun _ -> copy.withdrawn();
            case Outcome.Unknown unknown when unknown.reason() == UnknownReason.DEADLINE -> copy.withdrawn();
            case Outcome.Unknown _ -> copy.ended(now, false);
        }
    }

    /** Returns whether a copy answered without a server error. */
    static boolean isSuccess(Outcome outcome) {
        return outcome instanceof Outcome.Answered answered
                && answered.content().status() < SERVER_ERROR;
    }

    static boolean mayTryAnotherCopy(RefusalReason reason) {
        return switch (reason) {
            case QUEUE_FULL,
                    COPY_RATE_LIMITED,
                    DRAINING,
                    COPY_REFUSED,
                    COPY_UNREACHABLE,
                    PEER_UNREACHABLE,
                    DUPLICATE,
                    SUSPECTED -> true;
            case RING_FULL,
                    UNKNOWN_OPERATION,
                    UNKNOWN_SERVICE,
                    NO_CONFIGURATION,
                    BAD_REQUEST,
                    KEY_MISSING,
                    KEY_UNKNOWN,
                    KEY_UNVERIFIED,
                    OVER_ALLOWANCE,
                    QUARANTINED,
                    EVICTED,
                    DEADLINE,
                    OVERLOAD,
                    OVERLOAD_BELOW,
                    CREDITS_SPENT,
                    BUDGET_SPENT,
                    NO_COPY,
                    HOLDER_UNREACHABLE,
                    NO_LEASE,
                    HOLDER_FULL,
                    IDENTIFIER_TOO_OLD,
                    CANCELLED -> false;
        };
    }

    static boolean mayTryAnotherCopy(UnknownReason reason) {
        return switch (reason) {
            case PEER_LOST, COPY_LOST, COPY_CRASHED, TRUNCATED -> true;
            // After a quarantine the next copy would crash too, and after the deadline no client waits. The other
            // reasons do not occur for requests that any copy may run.
            case QUARANTINED,
                    DEADLINE,
                    NODE_STOPS,
                    RESTARTED,
                    IDENTIFIER_TIME,
                    HOLDER_UNREACHABLE,
                    NO_LEASE,
                    EARLIER_ATTEMPT -> false;
        };
    }

    static RetryReason retryReason(RefusalReason reason) {
        return switch (reason) {
            case PEER_UNREACHABLE, COPY_UNREACHABLE -> RetryReason.UNREACHABLE;
            case COPY_RATE_LIMITED -> RetryReason.COPY_RATE_LIMITED;
            default -> RetryReason.NOT_RUN;
        };
    }

    static boolean hasTimeAndSendsLeft(long now, OutgoingRequest request) {
        return request.deadlineNanos() - now > MINIMUM_RETRY_TIME_NANOS && request.sentAttempts() < MAXIMUM_SENDS;
    }
}
