package org.carawaysill.load.client;

import java.time.Duration;

/** What one try of a request came to, as its client saw it. Immutable and thread safe. */
public sealed interface TryResult {

    /** A complete answer to this very request. */
    record Whole() implements TryResult {}

    /**
     * An answer that should not have been one.
     *
     * @param fault what is wrong with it
     */
    record Broken(AnswerFault fault) implements TryResult {}

    /**
     * A refusal that says the request was not run.
     *
     * @param reason the reason given
     * @param retryAfter when to come back
     */
    record NotRun(String reason, Duration retryAfter) implements TryResult {}

    /**
     * An answer that says the request may have run.
     *
     * @param reason the reason given
     */
    record Unknown(String reason) implements TryResult {}

    /**
     * An error without a marked outcome.
     *
     * @param status the HTTP status
     */
    record Failed(int status) implements TryResult {}

    /** No answer in time; the client closed the connection. */
    record TimedOut() implements TryResult {}

    /** The connection could not be made, or was lost before the answer was complete. */
    record ConnectionLost() implements TryResult {}

    /**
     * Names the result for counting.
     *
     * @return the kind, with the reason where there is one
     */
    default String countedAs() {
        return switch (this) {
            case Whole() -> "answered";
            case Broken(AnswerFault fault) -> "broken " + fault.text();
            case NotRun(String reason, Duration retryAfter) -> "not-run " + reason;
            case Unknown(String reason) -> "unknown " + reason;
            case Failed(int status) -> "failed " + status;
            case TimedOut() -> "timed-out";
            case ConnectionLost() -> "connection-lost";
        };
    }
}
