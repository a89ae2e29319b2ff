package org.carawaysill.policy.ownership;

import java.time.Duration;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.model.request.RefusalReason;
import org.carawaysill.model.request.UnknownReason;

/** What the holder of a request decided about an attempt at it. Immutable and thread safe. */
public sealed interface Claim {

    /** The request is now marked as running, and the caller of the table must hand it out once or report it as not run. */
    record Run() implements Claim {}

    /** An earlier attempt at it is still running here. */
    record Running() implements Claim {}

    /**
     * An earlier attempt finished.
     *
     * @param outcome what it came to
     */
    record Known(Outcome outcome) implements Claim {}

    /**
     * An earlier run can't be ruled out.
     *
     * @param reason why not
     */
    record MayHaveRun(UnknownReason reason) implements Claim {}

    /**
     * The attempt is refused, and no attempt at this identifier ran unless the identifier is a duplicate.
     *
     * @param reason why
     * @param retryAfter when the caller should come back
     */
    record Refused(RefusalReason reason, Duration retryAfter) implements Claim {}
}
