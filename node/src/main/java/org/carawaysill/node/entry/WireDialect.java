package org.carawaysill.node.entry;

/**
 * The names of the header fields that clients, nodes and copies exchange, and the format of Retry-After.
 *
 * <p>Immutable and thread safe.
 *
 * @param requestName the client's own name for a request, echoed in its answer
 * @param clientTimeout how many milliseconds the client waits, or the copy may take
 * @param copy the only copy that may run a request
 * @param seal the seal that the copy adds to each of its answers
 * @param notRun the copy's statement that it did not run a request
 * @param callerService the service beside which a request entered the fleet
 * @param organisation the organisation whose key a request carried; sent to copies
 * @param rateLimit the copy's statement of how many requests a second it takes
 * @param leaving the copy's statement that it leaves: 1
 * @param keyScheme the authentication scheme of an organisation's key in the Authorization field
 * @param fractionalRetryAfter whether Retry-After may be a fraction of a second
 */
public record WireDialect(
        String requestName,
        String clientTimeout,
        String copy,
        String seal,
        String notRun,
        String callerService,
        String organisation,
        String rateLimit,
        String leaving,
        String keyScheme,
        boolean fractionalRetryAfter) {

    /** The header fields of this project. */
    public static final WireDialect OWN = new WireDialect(
            "Carawaysill-Request",
            "Carawaysill-Deadline-Milliseconds",
            "Carawaysill-Copy",
            "Carawaysill-Seal",
            "Carawaysill-Not-Run",
            "Carawaysill-Calling-Service",
            "Carawaysill-Organisation",
            "Carawaysill-Rate-Limit",
            "Carawaysill-Leaving",
            "Bearer",
            false);
}
