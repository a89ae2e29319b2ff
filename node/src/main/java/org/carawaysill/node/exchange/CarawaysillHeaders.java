package org.carawaysill.node.exchange;

/** The HTTP header fields of the project's own, and the caller's key. */
public final class CarawaysillHeaders {

    /** What the names of the project's own fields begin with, in lower case. */
    public static final String PREFIX = "carawaysill-";

    /** Request: the caller's name. */
    public static final String CALLER = "Carawaysill-Caller";

    /** Request to a copy, and the copy's own calls: the attempt, 32 hexadecimal digits. */
    public static final String ATTEMPT = "Carawaysill-Attempt";

    /** Request to a copy: the time left, in milliseconds. */
    public static final String DEADLINE_MILLISECONDS = "Carawaysill-Deadline-Milliseconds";

    /** Answer: {@code answered}, {@code not-run} or {@code unknown}. */
    public static final String OUTCOME = "Carawaysill-Outcome";

    /** Answer: when to come back, in milliseconds. */
    public static final String RETRY_AFTER_MILLISECONDS = "Carawaysill-Retry-After-Milliseconds";

    /** Request: the caller's key, the same for each of its retries. */
    public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    private CarawaysillHeaders() {}
}
