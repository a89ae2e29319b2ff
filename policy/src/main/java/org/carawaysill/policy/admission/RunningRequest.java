package org.carawaysill.policy.admission;

import org.carawaysill.policy.admission.ConcurrencyLimit.Result;
import org.carawaysill.policy.admission.ConcurrencyLimit.Sample;

/** A request at the local copy, and how much of its time it spent waiting for deeper services. Not thread safe. */
final class RunningRequest {

    private final Candidate candidate;
    private final long startedNanos;
    private int callsBelow;
    private long belowSinceNanos;
    private long belowNanos;
    private boolean failedBelow;

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

    void calledBelow(long now) {
        if (callsBelow++ == 0) {
            belowSinceNanos = now;
        }
    }

    void answeredBelow(long now, boolean answered) {
        failedBelow |= !answered;
        if (callsBelow > 0 && --callsBelow == 0) {
            belowNanos += now - belowSinceNanos;
        }
    }

    Sample sample(long now, int inFlight, Finish finish) {
        long openBelow = callsBelow > 0 ? now - belowSinceNanos : 0;
        long ownNanos = now - startedNanos - belowNanos - openBelow;
        return new Sample(startedNanos, inFlight, ownNanos, result(finish));
    }

    /** A copy that fails because a deeper service failed it is not to blame, nor is one that still waits for it. */
    private Result result(Finish finish) {
        boolean blameBelow = failedBelow || callsBelow > 0;
        return switch (finish) {
            case ANSWERED -> Result.SERVED;
            case FAILED -> blameBelow ? Result.UNCLEAR : Result.FAILED;
            case LOST -> blameBelow ? Result.UNCLEAR : Result.FAILED;
        };
    }
}
