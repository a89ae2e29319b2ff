package org.carawaysill.node.exchange;

/** The names of the project's own HTTP header fields, and of the field for idempotency keys. */
public final class CarawaysillHeaders {

    /** The prefix of the project's own fields, in lower case. */
    public static final String PREFIX = "carawaysill-";

    /** Request: the caller's name. */
    public static final String CALLER = "Carawaysill-Caller";

    /** Request to a copy, and the copy's own calls: the attempt, 32 hexadecimal digits. */
    public static final String ATTEMPT = "Carawaysill-Attempt";

    /** Request to a copy: the remaining time, in milliseconds. */
    public static final String DEADLINE_MILLISECONDS = "Carawaysill-Deadline-Milliseconds";

    /** Answer: {@code answered}, {@code not-run} or {@code unknown}. */
    public static final String OUTCOME = "Carawaysill-Outcome";

    /** Answer: the time after which to retry, in milliseconds. */
    public static final String RETRY_AFTER_MILLISECONDS = "Carawaysill-Retry-After-Milliseconds";

    /** Request: the caller's idempotency key, the same for each of its retries. */
    public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    private CarawaysillHeaders() {}
}
