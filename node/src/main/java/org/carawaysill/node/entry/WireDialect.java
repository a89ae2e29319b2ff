package org.carawaysill.node.entry;

/**
 * The header fields by which clients, nodes and copies name things to each other, and how a time to come back is written.
 *
 * <p>Immutable and thread safe.
 *
 * @param requestName the client's own name for a request, echoed in its answer
 * @param patience how many milliseconds the client waits, or the copy may take
 * @param copy the only copy that may run a request
 * @param seal the copy's mark on each of its answers
 * @param notRun the copy's statement that it did not run a request
 * @param callerService the service beside which a request began
 * @param organisation the organisation whose key a request carried, told to copies
 * @param keyScheme the scheme under which the Authorization field carries an organisation's key
 * @param fractionalRetryAfter whether a time to come back may be a fraction of a second
 */
public record WireDialect(
        String requestName,
        String patience,
        String copy,
        String seal,
        String notRun,
        String callerService,
        String organisation,
        String keyScheme,
        boolean fractionalRetryAfter) {

    /** The project's own fields. */
    public static final WireDialect OWN = new WireDialect(
            "Carawaysill-Request",
            "Carawaysill-Deadline-Milliseconds",
            "Carawaysill-Copy",
            "Carawaysill-Seal",
            "Carawaysill-Not-Run",
            "Carawaysill-Calling-Service",
            "Carawaysill-Organisation",
            "Bearer",
            false);
}
