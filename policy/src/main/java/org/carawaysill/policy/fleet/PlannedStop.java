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
     * How long nothing must be left to do before the process ends. Guards against an answer that its connection has no
     * room for, or that meets a lost connection: this becomes known only after it was sent.
     */
    private static final Duration IDLE_BEFORE_END = Duration.ofMillis(20);

    /** How often it is checked whether answers are not written yet, once the process may end. */
    private static final Duration CHECK_INTERVAL = IDLE_BEFORE_END;

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
    private int givenUp;
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
    boolean isAnnouncementDue(long now, Duration limit) {
        boolean due = isOrdered() && !leavingAnnounced && now >= new StopSchedule(orderedNanos, limit).announceNanos();
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
        StopSchedule schedule = new StopSchedule(orderedNanos, limit);
        long next = outgoing.nextWithdrawalNanos(now);
        for (long due : List.of(
                schedule.announceNanos(),
                schedule.refuseClientsNanos(),
                closeCopyNanos(schedule),
                schedule.lateNanos(),
                schedule.endRunsNanos(),
                schedule.endNanos())) {
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
        StopSchedule schedule = new StopSchedule(orderedNanos, limit);
        logIfLate(now, schedule);
        boolean refusesClients = now >= schedule.refuseClientsNanos();
        if (refusesClients) {
            outgoing.setIntake(Arrivals.Intake.CALLS);
            checkUnwritten(now);
        }
        if (now >= closeCopyNanos(schedule)) {
            localRuns.close(now);
        }
        outgoing.withdrawWaiting(now, schedule);
        if (now >= schedule.endRunsNanos()) {
            endRequests(now);
        }
        if (now >= schedule.endNanos() || hasBeenIdle(now) && refusesClients) {
            ended = true;
            effects.log(new Decision.NodeChanged("stopped", pendingWork() + tookMillis(now)));
            outgoing.setIntake(Arrivals.Intake.NOTHING);
            localRuns.close(now);
            effects.add(new FleetEffect.StopProcess());
        }
    }

    /** Answers everything that is left, while its answers can still be written. */
    private void endRequests(long now) {
        outgoing.setIntake(Arrivals.Intake.NOTHING);
        localRuns.close(now);
        localRuns.endRunsOfOtherNodes(now);
        givenUp += outgoing.giveUp(now);
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

    private long closeCopyNanos(StopSchedule schedule) {
        return schedule.lastStartNanos(localRuns.usualRunNanos());
    }

    private void logIfLate(long now, StopSchedule schedule) {
        if (!lateLogged && now >= schedule.lateNanos()) {
            lateLogged = true;
            effects.log(new Decision.NodeChanged("stop_late", pendingWork() + tookMillis(now)));
        }
    }

    /**
     * Returns the numbers of requests that entered here, of unanswered attempts, of requests for the local copy, of
     * those running at it, and, if there are any, of attempts that other nodes were asked for, of those not run, of requests
     * that were given up, and of answers that are not written yet.
     */
    private String pendingWork() {
        return "requests=" + outgoing.count() + " sent=" + outgoing.sentCount() + " at_copy=" + localRuns.count()
                + " running=" + localRuns.runningCount() + withdrawals() + unwrittenFields("client", toClients)
                + unwrittenFields("node", toNodes);
    }

    private String withdrawals() {
        int asked = outgoing.withdrawals().askedCount();
        return (asked == 0
                        ? ""
                        : " asked_back=" + asked + " not_run="
                                + outgoing.withdrawals().notRunCount())
                + (givenUp == 0 ? "" : " given_up=" + givenUp);
    }

    private static String unwrittenFields(String receiver, UnwrittenAnswers unwritten) {
        return unwritten.isEmpty()
                ? ""
                : " unread_by_" + receiver + "s=" + unwritten.connections() + " " + receiver + "_answers="
                        + unwritten.answers() + " " + receiver + "_bytes=" + unwritten.bytes();
    }

    private String tookMillis(long now) {
        return " took_ms=" + Nanos.toMillis(now - orderedNanos);
    }
}
