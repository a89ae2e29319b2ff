package org.carawaysill.policy.fleet;

import java.time.Duration;

/**
 * When the steps of a planned stop are due, on the monotonic clock in nanoseconds.
 *
 * <p>Immutable and thread safe.
 *
 * @param orderedNanos when the stop was ordered
 * @param limit the time after which the process is killed
 */
record StopSchedule(long orderedNanos, Duration limit) {

    /**
     * How long a stopping node accepts work for its copy as usual; the remaining time is enough for the work sent to it
     * meanwhile. Restarts that follow each other faster than a node is away make all copies of a service unreachable at
     * once: a node is away for 3.5 s if it announces the stop at the order, and for 2.3 s if it announces it here.
     */
    private static final Duration ANNOUNCE_AFTER = Duration.ofMillis(1200);

    /**
     * How long a stopping node accepts client requests: its readiness is checked each second, and two failed checks
     * take it out of service.
     *
     * <p>Guards against clients that never leave: the node would accept their requests until the end of its time and
     * then end while its copy runs them, so that requests that ran get no answer. From here on client requests are
     * refused and retried elsewhere, and accepted requests have the remaining 2.8 s of 6 s to be answered. If the time
     * for a stop is so short that less than half of it would remain, client requests are refused from half of it on.
     */
    private static final Duration REFUSE_CLIENTS_AFTER = Duration.ofMillis(2500);

    /**
     * The part of the time for a stop that remains when the process ends in any case. Guards against a process that is
     * killed while it closes its connections, so that answers already made never arrive.
     */
    private static final Duration STOP_MARGIN = Duration.ofMillis(700);

    /**
     * The least time before the end of the process in which no more requests are started at a copy: enough for those that
     * wait to be refused there and sent to another copy.
     */
    private static final Duration SHORTEST_LAST_RUN = Duration.ofMillis(300);

    /** How many times its usual time a request may take at a copy to end before the process does. */
    private static final int USUAL_RUNS_LEFT = 2;

    /**
     * How long before the end of the process the requests that still run are answered as possibly run: enough for the
     * answers to arrive. Guards against senders that wait for the link to a process that has ended, and against answers
     * that are ready and must follow a missing one on their connection.
     */
    private static final Duration END_RUNS_BEFORE_END = Duration.ofMillis(20);

    /**
     * How long before the end of the time for a stop the node logs what it still waits for: late enough that most stops
     * are complete, and early enough that the line is written before the process is killed.
     */
    private static final Duration LATE_BEFORE_END = Duration.ofSeconds(1);

    long announceNanos() {
        return after(ANNOUNCE_AFTER);
    }

    long refuseClientsNanos() {
        Duration half = limit.minus(STOP_MARGIN).dividedBy(2);
        return after(half.compareTo(REFUSE_CLIENTS_AFTER) < 0 ? half : REFUSE_CLIENTS_AFTER);
    }

    /**
     * Returns until when a request may start at a copy, so that its answer comes before the process ends.
     *
     * <p>Guards against a request that is cut because it began shortly before the end of the process, and against
     * requests that wait until then and seem to have run: they are refused while another copy can still run them.
     *
     * @param usualRunNanos the usual time of a request at the copy, 0 if unknown
     */
    long lastStartNanos(long usualRunNanos) {
        long lastRun = Math.max(USUAL_RUNS_LEFT * usualRunNanos, SHORTEST_LAST_RUN.toNanos());
        return Math.max(endNanos() - lastRun, announceNanos());
    }

    long lateNanos() {
        return after(limit.minus(LATE_BEFORE_END));
    }

    long endRunsNanos() {
        return endNanos() - END_RUNS_BEFORE_END.toNanos();
    }

    /** Returns when the process ends in any case. */
    long endNanos() {
        return after(limit.minus(STOP_MARGIN));
    }

    private long after(Duration time) {
        return orderedNanos + time.toNanos();
    }
}
