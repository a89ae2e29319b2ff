package org.carawaysill.policy.admission;

import org.carawaysill.policy.admission.LearnedLimit.Result;
import org.carawaysill.policy.admission.LearnedLimit.Sample;

/** A request at the local copy that measures how long it waits for deeper services. Not thread safe. */
final class RunningRequest {

    private final Candidate candidate;
    private final long startedNanos;
    private int openDeeperCalls;
    private long waitingSinceNanos;
    private long waitedNanos;
    private boolean deeperCallFailed;

    RunningRequest(Candidate candidate, long startedNanos) {
        this.candidate = candidate;
        this.startedNanos = startedNanos;
    }

    Candidate candidate() {
        return candidate;
    }

    long startedNanos() {
        return startedNanos;
    }

    void deeperCallStarted(long now) {
        if (openDeeperCalls++ == 0) {
            waitingSinceNanos = now;
        }
    }

    void deeperCallEnded(long now, boolean answered) {
        deeperCallFailed |= !answered;
        if (openDeeperCalls > 0 && --openDeeperCalls == 0) {
            waitedNanos += now - waitingSinceNanos;
        }
    }

    Sample sample(long now, int inFlight, Finish finish) {
        long openWaitNanos = openDeeperCalls > 0 ? now - waitingSinceNanos : 0;
        long ownNanos = now - startedNanos - waitedNanos - openWaitNanos;
        return new Sample(startedNanos, inFlight, ownNanos, result(finish));
    }

    /** A failure is not attributed to the copy if a call to a deeper service failed or is still open. */
    private Result result(Finish finish) {
        boolean deeperCause = deeperCallFailed || openDeeperCalls > 0;
        return switch (finish) {
            case ANSWERED -> Result.SERVED;
            case FAILED -> deeperCause ? Result.UNCLEAR : Result.FAILED;
            case LOST -> deeperCause ? Result.UNCLEAR : Result.FAILED;
        };
    }
}
