package org.carawaysill.load.report;

import java.util.List;

/**
 * Goodput over time.
 *
 * <p>Immutable and thread safe.
 *
 * @param bucketSeconds the length of one bucket
 * @param sent requests sent in each bucket, without their clients' retries
 * @param whole requests answered completely in each bucket
 * @param triggers the intervals in which triggers were active
 */
public record Series(double bucketSeconds, List<Integer> sent, List<Integer> whole, List<Interval> triggers) {

    public Series {
        sent = List.copyOf(sent);
        whole = List.copyOf(whole);
        triggers = List.copyOf(triggers);
    }

    /**
     * A time interval of a run.
     *
     * @param startSeconds seconds from the run's start
     * @param endSeconds seconds from the run's start
     */
    public record Interval(double startSeconds, double endSeconds) {}
}
