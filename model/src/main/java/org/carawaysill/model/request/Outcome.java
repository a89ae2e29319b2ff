package org.carawaysill.model.request;

import java.time.Duration;
import java.util.Optional;
import org.carawaysill.model.identity.NodeName;

/** What a request came to: one of three outcomes, of which the caller is told exactly one. Immutable and thread safe. */
public sealed interface Outcome {

    /**
     * A copy answered completely.
     *
     * @param content the copy's answer
     */
    record Answered(AnswerContent content) implements Outcome {}

    /**
     * The request was refused and no node handed it to any upstream copy.
     *
     * @param reason why
     * @param retryAfter when the caller should come back
     * @param step where it was refused
     * @param peer the node that refused, if another one did
     */
    record NotRun(RefusalReason reason, Duration retryAfter, Step step, Optional<NodeName> peer) implements Outcome {}

    /**
     * The request may have run.
     *
     * @param reason why that is not known
     * @param step where the answer was lost
     * @param peer the node from which the answer was awaited, if another one
     */
    record Unknown(UnknownReason reason, Step step, Optional<NodeName> peer) implements Outcome {}
}
