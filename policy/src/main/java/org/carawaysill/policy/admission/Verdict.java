package org.carawaysill.policy.admission;

import java.time.Duration;
import org.carawaysill.model.identity.AttemptIdentifier;
import org.carawaysill.model.request.RefusalReason;

/** What {@link CopyAdmission} decided about one attempt. Immutable and thread safe. */
public sealed interface Verdict {

    /**
     * Hand the request to the copy now.
     *
     * @param attempt the attempt
     */
    record Start(AttemptIdentifier attempt) implements Verdict {}

    /**
     * Tell the caller that the request was not run.
     *
     * @param attempt the attempt
     * @param reason why
     * @param retryAfter how long the caller should wait before it tries again
     */
    record Refuse(AttemptIdentifier attempt, RefusalReason reason, Duration retryAfter) implements Verdict {}

    /**
     * Cancel the request, which runs at the copy; its slot counts as free at once. The request may have run.
     *
     * @param attempt the attempt
     * @param retryAfter how long the caller should wait before it tries again
     */
    record CancelRunning(AttemptIdentifier attempt, Duration retryAfter) implements Verdict {}

    /**
     * Returns the attempt that the verdict is about.
     *
     * @return the attempt that the verdict is about
     */
    AttemptIdentifier attempt();
}
