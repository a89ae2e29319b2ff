package org.carawaysill.load.client;

import java.util.List;
import org.carawaysill.load.client.TryResult.NotRun;
import org.carawaysill.load.client.TryResult.Whole;
import org.carawaysill.load.schedule.Arrival;

/**
 * The record of a request from its intended sending time to its end.
 *
 * <p>Invariant: no try but the last has a complete answer. Immutable and thread safe.
 *
 * @param arrival the scheduled request
 * @param traceIdentifier the trace identifier by which run logs list it
 * @param sentNanos when it was first sent, in nanoseconds from the run's start
 * @param tries the result of each try, in order
 * @param finishedNanos when its client had the answer or gave up, in nanoseconds from the run's start
 */
public record RequestRecord(
        Arrival arrival, String traceIdentifier, long sentNanos, List<TryResult> tries, long finishedNanos) {

    public RequestRecord {
        tries = List.copyOf(tries);
    }

    /**
     * Returns whether the request got a complete answer.
     *
     * @return true if its last try did
     */
    public boolean whole() {
        return tries.getLast() instanceof Whole;
    }

    /**
     * Returns whether every try got the outcome "not run".
     *
     * @return true if every try did
     */
    public boolean everyTryNotRun() {
        return tries.stream().allMatch(NotRun.class::isInstance);
    }

    /**
     * Returns the delay that the load generator itself caused.
     *
     * @return nanoseconds from the intended to the actual first sending
     */
    public long lateNanos() {
        return sentNanos - arrival.atNanos();
    }

    /**
     * Returns the latency as seen by the client, counted from the intended sending time.
     *
     * @return nanoseconds from the intended sending
     */
    public long latencyNanos() {
        return finishedNanos - arrival.atNanos();
    }
}
