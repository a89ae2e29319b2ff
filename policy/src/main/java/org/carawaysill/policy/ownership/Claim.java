package org.carawaysill.policy.ownership;

import java.time.Duration;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.model.request.RefusalReason;
import org.carawaysill.model.request.UnknownReason;

/** The decision of a request's holder about one attempt. Immutable and thread safe. */
public sealed interface Claim {

    /** The request is now marked as running; the caller must hand it to a copy once or report it as not run. */
    record Run() implements Claim {}

    /** An earlier attempt at the request is still running here. */
    record Running() implements Claim {}

    /**
     * An earlier attempt finished.
     *
     * @param outcome its outcome
     */
    record Known(Outcome outcome) implements Claim {}

    /**
     * An earlier run can't be ruled out.
     *
     * @param reason why it can't
     */
    record MayHaveRun(UnknownReason reason) implements Claim {}

    /**
     * The attempt is refused, and no attempt at this identifier ran unless the identifier is a duplicate.
     *
     * @param reason why
     * @param retryAfter how long the caller should wait before it tries again
     */
    record Refused(RefusalReason reason, Duration retryAfter) implements Claim {}
}
