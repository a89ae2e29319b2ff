package org.carawaysill.model.request;

import java.time.Duration;
import java.util.Optional;
import org.carawaysill.model.identity.NodeName;

/** The outcome of a request; exactly one of three outcomes is reported to the caller. Immutable and thread safe. */
public sealed interface Outcome {

    /**
     * A copy returned a complete answer.
     *
     * @param content the copy's answer
     */
    record Answered(AnswerContent content) implements Outcome {}

    /**
     * The request was refused, and no node sent it to any upstream copy.
     *
     * @param reason the reason for the refusal
     * @param retryAfter the time after which the caller should retry
     * @param step the step at which it was refused
     * @param peer the node that refused, if it was another node
     */
    record NotRun(RefusalReason reason, Duration retryAfter, Step step, Optional<NodeName> peer) implements Outcome {}

    /**
     * The request may have run.
     *
     * @param reason the reason why it is unknown whether it ran
     * @param step the step at which the answer was lost
     * @param peer the node from which the answer was expected, if it was another node
     */
    record Unknown(UnknownReason reason, Step step, Optional<NodeName> peer) implements Outcome {}
}
