package org.carawaysill.policy.fleet;

import java.time.Duration;
import java.util.List;
import org.carawaysill.policy.time.Nanos;

/**
 * A planned stop of this node: what it waits for, from the order until the process ends.
 *
 * <p>Invariants: once ordered, it is never taken back; the process ends before it is killed. Not thread safe: owned by the
 * policy.
 */
final class PlannedStop {

    /**
     * How long a stopping node goes on taking requests: it is asked each second whether it is ready, and two refusals take it
     * out.
     *
     * <p>Guards against clients that never leave, which shows as requests without an answer that have run: the node would take
     * them until the end of its time, and end under all that its copy works on then. Refused from here on, they come back
     * elsewhere, and what was taken has the rest of the time, 2.8 s of 6, to be answered. Where the time for a stop is so short
     * that less than half of it would be left, they are refused from half of it on.
     */
    private static final Duration CLIENTS_GONE_AFTER = Duration.ofMillis(2500);

    /**
     * How long a stopping node goes on taking work for its copy as usual: the rest until it may end is enough for what was
     * sent to it meanwhile. Restarts that follow each other by less than a node is away take all copies of a service out of
     * reach at once; told at the order, a node is away for 3.5 s, so for 2.3 s.
     */
    private static final Duration LEAVING_TOLD_AFTER = Duration.ofMillis(1200);

    /**
     * What is left of the time for a stop when the process ends in any case. Guards against a process that is killed while
     * it closes its connections, which shows as answers that were made and never arrived.
     */
    private static final Duration STOP_MARGIN = Duration.ofMillis(700);

    /**
     * How long before the end of the time for a stop the node says what it still waits for: late enough that most stops are
     * over, and early enough that the line is written before the process is killed.
     */
    private static final Duration LATE_BEFORE_END = Duration.ofSeconds(1);

    private static final long NOT_ORDERED = Long.MAX_VALUE;

    private final Effects effects;
    private final OutgoingRequests outgoing;
    private final LocalRuns localRuns;
    private long orderedNanos = NOT_ORDERED;
    private boolean leavingTold;
    private boolean lateTold;
    private boolean ended;

    PlannedStop(Effects effects, OutgoingRequests outgoing, LocalRuns localRuns) {
        this.effects = effects;
        this.outgoing = outgoing;
        this.localRuns = localRuns;
    }

    void order(long now) {
        if (!isOrdered()) {
            orderedNanos = now;
            effects.log(new Decision.NodeChanged("stopping", waitsFor()));
        }
    }

    boolean isOrdered() {
        return orderedNanos != NOT_ORDERED;
    }

    /** Tells, once, that the others must be told now that this node leaves. */
    boolean isLeavingToBeTold(long now) {
        boolean due = isOrdered() && !leavingTold && now - orderedNanos >= LEAVING_TOLD_AFTER.toNanos();
        leavingTold |= due;
        return due;
    }

    boolean isLeavingTold() {
        return leavingTold;
    }

    /**
     * Returns when the next step of the stop is due.
     *
     * <p>Guards against a process that is killed at the end of its time, which shows as connections that are cut: where a single
     * long request is left, nothing else happens in which the end of the time would be noticed, and the report that follows
     * came up to 0.4 s late, more than half of what is left for closing.
     *
     * @return the monotonic time, later than {@code now}
     */
    long nextNanos(long now, Duration limit) {
        if (ended || !isOrdered()) {
            return NOT_ORDERED;
        }
        long next = NOT_ORDERED;
        for (Duration step : List.of(
                LEAVING_TOLD_AFTER, clientsGoneAfter(limit), limit.minus(LATE_BEFORE_END), limit.minus(STOP_MARGIN))) {
            long due = orderedNanos + step.toNanos();
            if (due > now) {
                next = Math.min(next, due);
            }
        }
        return next;
    }

    /** Ends the process once nothing is left to do, or the time for that is over. */
    void passTime(long now, Duration limit) {
        if (ended || !isOrdered()) {
            return;
        }
        long stopping = now - orderedNanos;
        tellIfLate(stopping, limit);
        boolean clientsGone = stopping >= clientsGoneAfter(limit).toNanos();
        if (clientsGone) {
            outgoing.take(Arrivals.Intake.CALLS);
        }
        boolean idle = outgoing.isEmpty() && localRuns.isEmpty();
        boolean over = stopping >= limit.minus(STOP_MARGIN).toNanos();
        if (over || idle && clientsGone) {
            ended = true;
            effects.log(new Decision.NodeChanged("stopped", waitsFor() + tookMillis(stopping)));
            outgoing.take(Arrivals.Intake.NOTHING);
            localRuns.close();
            effects.add(new FleetEffect.StopProcess());
        }
    }

    private static Duration clientsGoneAfter(Duration limit) {
        Duration half = limit.minus(STOP_MARGIN).dividedBy(2);
        return half.compareTo(CLIENTS_GONE_AFTER) < 0 ? half : CLIENTS_GONE_AFTER;
    }

    private void tellIfLate(long stopping, Duration limit) {
        if (!lateTold && stopping >= limit.minus(LATE_BEFORE_END).toNanos()) {
            lateTold = true;
            effects.log(new Decision.NodeChanged("stop_late", waitsFor() + tookMillis(stopping)));
        }
    }

    /** Requests that began here, those of them that were sent to a copy, requests for the local copy, those that it works on. */
    private String waitsFor() {
        return "requests=" + outgoing.count() + " sent=" + outgoing.sentCount() + " at_copy=" + localRuns.count()
                + " running=" + localRuns.runningCount();
    }

    private static String tookMillis(long stopping) {
        return " took_ms=" + Nanos.toMillis(stopping);
    }
}
