package org.carawaysill.policy.fleet;

import java.time.Duration;
import java.util.Optional;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.model.request.RefusalReason;
import org.carawaysill.model.request.Step;
import org.carawaysill.model.request.UnknownReason;

/** The outcomes of attempts that the entry node finds by itself. Stateless and thread safe. */
final class EntryOutcomes {

    /** The retry delay when no copy is reachable: by then connections have been dialled again. */
    static final Duration UNREACHABLE_RETRY_AFTER = Duration.ofMillis(300);

    private EntryOutcomes() {}

    static Outcome.NotRun noCopy() {
        return notRun(RefusalReason.NO_COPY, Step.ROUTING);
    }

    /** Returns the outcome of an attempt that no copy can have run, since the other node did not get all of it. */
    static Outcome.NotRun unreachable(Step step) {
        return notRun(RefusalReason.PEER_UNREACHABLE, step);
    }

    /** Returns the outcome of an attempt whose body was not sent, because its copy left or this node stops. */
    static Outcome.NotRun bodyUnsent() {
        return notRun(RefusalReason.DRAINING, Step.PEER_WAIT);
    }

    /** Returns the outcome of a request whose deadline has come. */
    static Outcome atDeadline(OutgoingRequest request) {
        if (request.awaitsPlace()) {
            return notRun(RefusalReason.DEADLINE, Step.PEER_WAIT);
        }
        Step step = request.attempt().isPresent() ? Step.PEER_WAIT : Step.ROUTING;
        return new Outcome.Unknown(UnknownReason.DEADLINE, step, Optional.empty());
    }

    /** Returns the outcome of a request that is not answered when the time for a stop is over. */
    static Outcome atEndOfStop(OutgoingRequest request) {
        return request.awaitsPlace()
                ? bodyUnsent()
                : new Outcome.Unknown(UnknownReason.NODE_STOPS, Step.PEER_WAIT, Optional.empty());
    }

    private static Outcome.NotRun notRun(RefusalReason reason, Step step) {
        return new Outcome.NotRun(reason, UNREACHABLE_RETRY_AFTER, step, Optional.empty());
    }
}
