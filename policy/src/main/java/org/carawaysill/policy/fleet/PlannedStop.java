package org.carawaysill.policy.fleet;

import java.time.Duration;
import java.util.List;
import org.carawaysill.model.request.UnwrittenAnswers;
import org.carawaysill.policy.time.Nanos;

/**
 * The planned stop of this node, from the order until the process ends.
 *
 * <p>Invariants: once ordered, it is never cancelled; the process ends before it is killed. Not thread safe: owned by
 * the policy.
 */
final class PlannedStop {

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
     * How long a stopping node accepts work for its copy as usual; the remaining time is enough for the work sent to it
     * meanwhile. Restarts that follow each other faster than a node is away make all copies of a service unreachable at
     * once: a node is away for 3.5 s if it announces the stop at the order, and for 2.3 s if it announces it here.
     */
    private static final Duration ANNOUNCE_AFTER = Duration.ofMillis(1200);

    /**
     * The part of the time for a stop that remains when the process ends in any case. Guards against a process that is
     * killed while it closes its connections, so that answers already made never arrive.
     */
    private static final Duration STOP_MARGIN = Duration.ofMillis(700);

    /**
     * The least time before the end of the process in which no more requests are started at the copy: enough for those
     * that wait to be refused here and sent to another copy.
     */
    private static final Duration SHORTEST_LAST_RUN = Duration.ofMillis(300);

    /**
     * How long before the process ends in any case the requests of other nodes that still run at the copy are answered
     * as possibly run: enough for the answers to arrive. Guards against senders that wait for the link to a process that
     * has ended.
     */
    private static final Duration END_RUNS_BEFORE_END = Duration.ofMillis(20);

    /**
     * How long nothing must be left to do before the process ends. Guards against an answer that its connection has no
     * room for, or that meets a lost connection: this becomes known only after it was sent.
     */
    private static final Duration IDLE_BEFORE_END = Duration.ofMillis(20);

    /** How often it is checked whether answers are not written yet, once the process may end. */
    private static final Duration CHECK_INTERVAL = IDLE_BEFORE_END;

    /** How many times its usual time a request may take at the copy to end before the process does. */
    private static final int USUAL_RUNS_LEFT = 2;

    /**
     * How long before the end of the time for a stop the node logs what it still waits for: late enough that most stops
     * are complete, and early enough that the line is written before the process is killed.
     */
    private static final Duration LATE_BEFORE_END = Duration.ofSeconds(1);

    private static final long NOT_ORDERED = Long.MAX_VALUE;

    private static final long NOT_IDLE = Long.MAX_VALUE;

    private static final long NOT_CHECKED = Long.MIN_VALUE;

    private final Effects effects;
    private final OutgoingRequests outgoing;
    private final LocalRuns localRuns;
    private final UnsentMessages unsentMessages;
    private long orderedNanos = NOT_ORDERED;
    private long idleSinceNanos = NOT_IDLE;
    private long nextCheckNanos = NOT_CHECKED;
    private long checkedNanos = NOT_CHECKED;
    private UnwrittenAnswers toClients = UnwrittenAnswers.NONE;
    private UnwrittenAnswers toNodes = UnwrittenAnswers.NONE;
    private boolean leavingAnnounced;
    private boolean lateLogged;
    private boolean ended;

    PlannedStop(Effects effects, OutgoingRequests outgoing, LocalRuns localRuns, UnsentMessages unsentMessages) {
        this.effects = effects;
        this.outgoing = outgoing;
        this.localRuns = localRuns;
        this.unsentMessages = unsentMessages;
    }

    void order(long now) {
        if (!isOrdered()) {
            orderedNanos = now;
            effects.log(new Decision.NodeChanged("stopping", pendingWork()));
        }
    }

    boolean isOrdered() {
        return orderedNanos != NOT_ORDERED;
    }

    /** Takes in which answers connections have accepted and not written yet. */
    void unwrittenChecked(long now, FleetEvent.UnwrittenChecked checked) {
        checkedNanos = now;
        toClients = checked.toClients();
        toNodes = checked.toNodes();
    }

    /** Returns true once, when the other nodes must be notified that this node leaves. */
    boolean isAnnouncementDue(long now) {
        boolean due = isOrdered() && !leavingAnnounced && now - orderedNanos >= ANNOUNCE_AFTER.toNanos();
        leavingAnnounced |= due;
        return due;
    }

    boolean isLeavingAnnounced() {
        return leavingAnnounced;
    }

    /**
     * Returns when the next step of the stop is due.
     *
     * <p>Guards against a process that is killed at the end of its time, which cuts its connections: if a single long
     * request is left, no other event would reveal the end of the time, and the next periodic report came up to 0.4 s
     * late, more than half of the time left for closing.
     *
     * @return the monotonic time, later than {@code now}
     */
    long nextNanos(long now, Duration limit) {
        if (ended || !isOrdered()) {
            return NOT_ORDERED;
        }
        long next = NOT_ORDERED;
        for (Duration step : List.of(
                ANNOUNCE_AFTER,
                refuseClientsAfter(limit),
                closeCopyAfter(limit),
                limit.minus(LATE_BEFORE_END),
                endRunsAfter(limit),
                limit.minus(STOP_MARGIN))) {
            long due = orderedNanos + step.toNanos();
            if (due > now) {
                next = Math.min(next, due);
            }
        }
        if (idleSinceNanos != NOT_IDLE && idleSinceNanos + IDLE_BEFORE_END.toNanos() > now) {
            next = Math.min(next, idleSinceNanos + IDLE_BEFORE_END.toNanos());
        }
        return nextCheckNanos > now ? Math.min(next, nextCheckNanos) : next;
    }

    /** Ends the process once nothing is left to do and every answer is written, or when the time for the stop is over. */
    void passTime(long now, Duration limit) {
        if (ended || !isOrdered()) {
            return;
        }
        long stopping = now - orderedNanos;
        logIfLate(stopping, limit);
        boolean refusesClients = stopping >= refuseClientsAfter(limit).toNanos();
        if (refusesClients) {
            outgoing.setIntake(Arrivals.Intake.CALLS);
            checkUnwritten(now);
        }
        if (stopping >= closeCopyAfter(limit).toNanos()) {
            localRuns.close(now);
        }
        if (stopping >= endRunsAfter(limit).toNanos()) {
            localRuns.close(now);
            localRuns.endRunsOfOtherNodes(now);
        }
        boolean over = stopping >= limit.minus(STOP_MARGIN).toNanos();
        if (over || hasBeenIdle(now) && refusesClients) {
            ended = true;
            effects.log(new Decision.NodeChanged("stopped", pendingWork() + tookMillis(stopping)));
            outgoing.setIntake(Arrivals.Intake.NOTHING);
            localRuns.close(now);
            effects.add(new FleetEffect.StopProcess());
        }
    }

    private void checkUnwritten(long now) {
        if (now >= nextCheckNanos) {
            nextCheckNanos = now + CHECK_INTERVAL.toNanos();
            effects.add(new FleetEffect.CheckUnwritten());
        }
    }

    /**
     * Returns whether nothing has been left to do for {@link #IDLE_BEFORE_END}, and no answer was left to write after
     * the last request had ended.
     */
    private boolean hasBeenIdle(long now) {
        boolean idle =
                outgoing.isEmpty() && localRuns.isEmpty() && !unsentMessages.holdsAnswers() && isEveryAnswerWritten();
        idleSinceNanos = idle ? Math.min(idleSinceNanos, now) : NOT_IDLE;
        return idle && now - idleSinceNanos >= IDLE_BEFORE_END.toNanos() && checkedNanos > idleSinceNanos;
    }

    private boolean isEveryAnswerWritten() {
        return toClients.isEmpty() && toNodes.isEmpty();
    }

    private static Duration endRunsAfter(Duration limit) {
        return limit.minus(STOP_MARGIN).minus(END_RUNS_BEFORE_END);
    }

    private static Duration refuseClientsAfter(Duration limit) {
        Duration half = limit.minus(STOP_MARGIN).dividedBy(2);
        return half.compareTo(REFUSE_CLIENTS_AFTER) < 0 ? half : REFUSE_CLIENTS_AFTER;
    }

    /**
     * Returns when requests are no longer started at the copy.
     *
     * <p>Guards against a request that is cut because it began shortly before the end of the process, and against
     * requests that wait until then and seem to have run: they are refused while another copy can still run them.
     */
    private Duration closeCopyAfter(Duration limit) {
        Duration lastRun = Duration.ofNanos(USUAL_RUNS_LEFT * localRuns.usualRunNanos());
        Duration lastStart = limit.minus(STOP_MARGIN).minus(longer(lastRun, SHORTEST_LAST_RUN));
        return longer(lastStart, ANNOUNCE_AFTER);
    }

    private static Duration longer(Duration first, Duration second) {
        return first.compareTo(second) > 0 ? first : second;
    }

    private void logIfLate(long stopping, Duration limit) {
        if (!lateLogged && stopping >= limit.minus(LATE_BEFORE_END).toNanos()) {
            lateLogged = true;
            effects.log(new Decision.NodeChanged("stop_late", pendingWork() + tookMillis(stopping)));
        }
    }

    /**
     * Returns the numbers of requests that entered here, of unanswered attempts, of requests for the local copy, of
     * those running at it, and of answers that are not written yet, if there are any.
     */
    private String pendingWork() {
        return "requests=" + outgoing.count() + " sent=" + outgoing.sentCount() + " at_copy=" + localRuns.count()
                + " running=" + localRuns.runningCount() + unwrittenFields("client", toClients)
                + unwrittenFields("node", toNodes);
    }

    private static String unwrittenFields(String receiver, UnwrittenAnswers unwritten) {
        return unwritten.isEmpty()
                ? ""
                : " unread_by_" + receiver + "s=" + unwritten.connections() + " " + receiver + "_answers="
                        + unwritten.answers() + " " + receiver + "_bytes=" + unwritten.bytes();
    }

    private static String tookMillis(long stopping) {
        return " took_ms=" + Nanos.toMillis(stopping);
    }
}
