package org.carawaysill.policy.fleet;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.carawaysill.model.request.AnswerContent;
import org.carawaysill.model.request.Body;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.model.request.RefusalReason;
import org.carawaysill.model.request.Step;
import org.carawaysill.model.request.UnknownReason;

/** Outcomes that tests pass to a policy. Stateless and thread safe. */
final class Outcomes {

    static final Outcome FAILED = new Outcome.Answered(new AnswerContent(500, List.of(), Body.ofText("failure")));
    static final Outcome LOST = new Outcome.Unknown(UnknownReason.COPY_LOST, Step.COPY_WAIT, Optional.empty());
    static final Outcome REFUSED =
            new Outcome.NotRun(RefusalReason.COPY_REFUSED, Duration.ofMillis(100), Step.COPY_WAIT, Optional.empty());
    static final Outcome UNREACHABLE = new Outcome.NotRun(
            RefusalReason.COPY_UNREACHABLE, Duration.ofMillis(500), Step.COPY_CONNECT, Optional.empty());

    private Outcomes() {}

    static Outcome good(Body body) {
        return new Outcome.Answered(new AnswerContent(200, List.of(), body));
    }

    static boolean isGood(Outcome outcome) {
        return outcome instanceof Outcome.Answered answered
                && answered.content().status() < 500;
    }
}
