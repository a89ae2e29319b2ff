package org.carawaysill.load.client;

import java.util.List;
import org.carawaysill.load.client.TryResult.NotRun;
import org.carawaysill.load.client.TryResult.Whole;
import org.carawaysill.load.schedule.Arrival;

/**
 * One request from its intended sending to its end.
 *
 * <p>Invariant: at most the last try is whole. Immutable and thread safe.
 *
 * @param arrival what was meant to be sent
 * @param traceIdentifier what run logs know it by
 * @param sentNanos when it was sent first, in nanoseconds from the run's start
 * @param tries what each try came to, in order
 * @param finishedNanos when its client had the answer or gave up, in nanoseconds from the run's start
 */
public record RequestRecord(
        Arrival arrival, String traceIdentifier, long sentNanos, List<TryResult> tries, long finishedNanos) {

    public RequestRecord {
        tries = List.copyOf(tries);
    }

    /**
     * Tells whether the request was answered completely, end to end.
     *
     * @return true if its last try was
     */
    public boolean whole() {
        return tries.getLast() instanceof Whole;
    }

    /**
     * Tells whether its client was told at every try that it was not run.
     *
     * @return true if every answer said so
     */
    public boolean everyTryNotRun() {
        return tries.stream().allMatch(NotRun.class::isInstance);
    }

    /**
     * Gives the time by which the bench itself was late.
     *
     * @return nanoseconds from the intended sending to the first
     */
    public long lateNanos() {
        return sentNanos - arrival.atNanos();
    }

    /**
     * Gives the time that its client waited, the time before the first sending included.
     *
     * @return nanoseconds from the intended sending
     */
    public long latencyNanos() {
        return finishedNanos - arrival.atNanos();
    }
}
