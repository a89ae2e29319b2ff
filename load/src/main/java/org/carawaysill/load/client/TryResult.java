package org.carawaysill.load.client;

import java.time.Duration;

/** The result of a try of a request, as seen by its client. Immutable and thread safe. */
public sealed interface TryResult {

    /** A complete answer to this request. */
    record Whole() implements TryResult {}

    /**
     * An answer with a success status that is faulty.
     *
     * @param fault the fault
     */
    record Broken(AnswerFault fault) implements TryResult {}

    /**
     * A refusal which states that the request was not run.
     *
     * @param reason the reason given
     * @param retryAfter the delay after which to retry
     */
    record NotRun(String reason, Duration retryAfter) implements TryResult {}

    /**
     * An answer which states that the request may have run.
     *
     * @param reason the reason given
     */
    record Unknown(String reason) implements TryResult {}

    /**
     * An error status without an outcome header.
     *
     * @param status the HTTP status
     */
    record Failed(int status) implements TryResult {}

    /** No answer arrived in time, and the client closed the connection. */
    record TimedOut() implements TryResult {}

    /** The connection could not be established, or was lost before the answer was complete. */
    record ConnectionLost() implements TryResult {}

    /**
     * Returns the name under which the result is counted.
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
