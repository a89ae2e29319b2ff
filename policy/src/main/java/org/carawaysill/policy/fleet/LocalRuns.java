package org.carawaysill.policy.fleet;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.carawaysill.model.fleet.CopyName;
import org.carawaysill.model.fleet.CopyRecord;
import org.carawaysill.model.identity.AttemptIdentifier;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.request.BodyCount;
import org.carawaysill.model.request.CopyNotice;
import org.carawaysill.model.request.Fingerprint;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.model.request.RefusalReason;
import org.carawaysill.model.request.Step;
import org.carawaysill.model.request.UnknownReason;
import org.carawaysill.policy.fleet.body.HeldPlaces;
import org.carawaysill.policy.fleet.copy.Copy;
import org.carawaysill.policy.fleet.copy.CopyGate;
import org.carawaysill.policy.fleet.copy.LocalRun;
import org.carawaysill.policy.fleet.schedule.ServiceWork;
import org.carawaysill.policy.message.PeerMessage.AttemptBody;
import org.carawaysill.policy.message.PeerMessage.CopyRequest;
import org.carawaysill.policy.message.PeerMessage.LoadReport;
import org.carawaysill.policy.time.Moment;

/**
 * The requests for the local copy, whichever node sent them.
 *
 * <p>Invariants: each request is answered once, or cancelled by its sender; a request is answered with "not run" only
 * if it was not sent to the copy, or if the copy said so. Not thread safe: owned by the policy.
 */
final class LocalRuns {

    /**
     * How long before its deadline a waiting request is refused, so that "not run" still reaches the client in time:
     * two hops between zones and their wake-ups.
     */
    private static final long ANSWER_MARGIN_NANOS = Duration.ofMillis(15).toNanos();

    /** How long after the deadline the copy may still answer. */
    private static final long OVERDUE_NANOS = Duration.ofMillis(200).toNanos();

    private final Effects effects;
    private final CrashSuspects suspects;
    private final CopyGate gate;
    private final CopyNotices notices;
    private final RunAnswers answers;
    private final BodyPlaces places;
    private final WorkReports work;
    private final LocalCopy localCopy;
    private final Map<String, LocalRun> runningByName = new HashMap<>();
    private int loggedLimit;
    private boolean closed;

    LocalRuns(FleetSettings settings, Effects effects, CrashSuspects suspects) {
        this.effects = effects;
        this.suspects = suspects;
        gate = new CopyGate(settings.disabledMechanisms(), settings.maximumReceivedBytes());
        notices = new CopyNotices(effects, gate);
        answers = new RunAnswers(effects, gate, notices);
        places = new BodyPlaces(effects);
        work = new WorkReports(effects, gate);
        localCopy = new LocalCopy(effects, suspects, gate, notices);
    }

    void localSender(RunAnswers.LocalSender sender) {
        answers.localSender(sender);
    }

    LoadReport load(long now) {
        return gate.load(now);
    }

    double workSeconds(long now) {
        return gate.workSeconds(now);
    }

    boolean isEmpty() {
        return gate.isEmpty();
    }

    int count() {
        return gate.all().size();
    }

    /** Returns the memory of the requests that other nodes sent. */
    long receivedBytes() {
        return gate.receivedBytes();
    }

    /** Returns the number of requests that were sent to the copy. */
    long runningCount() {
        return gate.all().stream().filter(LocalRun::isSentToCopy).count();
    }

    /** Returns the other nodes whose requests wait or run here. */
    Set<NodeName> senders() {
        Set<NodeName> senders = new HashSet<>();
        gate.all().forEach(run -> run.sender().ifPresent(senders::add));
        return senders;
    }

    /** Applies the routes of a configuration: how requests for the local copy wait may change. */
    void configured(long now, Optional<ServiceWork> newWork) {
        if (gate.serves(now, newWork)) {
            readmitWaiting(now);
        }
    }

    /** Applies what is published of the local copy. */
    void published(Moment moment, Copy copy) {
        long now = moment.nanos();
        gate.limit(now, copy.record().slots());
        if (localCopy.hasRestarted(copy.record())) {
            restarted(moment, copy.record());
        }
        localCopy.published(copy);
        applyLeaving(now);
    }

    /** Notes that the local copy is not published; it may have left without notice. */
    void unpublished(long now, Predicate<CopyName> isPublished) {
        boolean removed = localCopy.name().filter(isPublished.negate()).isPresent();
        localCopy.unpublished(now, removed);
        applyLeaving(now);
    }

    /** Refuses what waits for a copy that has begun to leave: other copies can run it, and this one may end. */
    private void applyLeaving(long now) {
        if (localCopy.noteLeaving(now)) {
            readmitWaiting(now);
        }
    }

    /** Fails the requests that were running when the copy's process ended. */
    void crashed(long now, List<AttemptIdentifier> attempts) {
        List<LocalRun> runs =
                attempts.stream().map(gate::find).flatMap(Optional::stream).toList();
        localCopy
                .reportLost(now, runs)
                .forEach(lost -> answered(now, lost.run().request().attempt(), unknown(lost.reason())));
        recheck(now);
    }

    private static Outcome unknown(UnknownReason reason) {
        return new Outcome.Unknown(reason, Step.COPY_WAIT, Optional.empty());
    }

    /**
     * Ends requests that were sent to the copy's previous process: they may have run, but no answer will come.
     *
     * <p>Guards against a copy that lost power and restarted before its connections are known to be dead: their
     * requests would hold slots until their deadlines, and the next ones would be sent on dead connections. If the copy
     * does not state when it started, only idle connections are closed.
     */
    private void restarted(Moment moment, CopyRecord record) {
        gate.copyRestarted(moment.nanos());
        notices.reset(moment.nanos());
        effects.add(new FleetEffect.CloseIdleCopyConnections());
        List<LocalRun> runs = gate.all().stream()
                .filter(run -> LocalCopy.isFromEarlierProcess(moment, run, record))
                .toList();
        localCopy
                .reportLost(moment.nanos(), runs)
                .forEach(lost -> endAsUnknown(moment.nanos(), lost.run(), lost.reason()));
    }

    private void endAsUnknown(long now, LocalRun run, UnknownReason reason) {
        AttemptIdentifier attempt = run.request().attempt();
        effects.add(new FleetEffect.CancelAtCopy(attempt));
        answered(now, attempt, unknown(reason));
    }

    /** Returns the running request on whose behalf the copy makes a call: the call's name starts with its name. */
    Optional<LocalRun> parentOf(String callName) {
        int end = callName.lastIndexOf('.');
        return end <= 0 ? Optional.empty() : Optional.ofNullable(runningByName.get(callName.substring(0, end)));
    }

    /** Refuses the requests that wait and those that arrive from now on; their senders try another copy. */
    void close(long now) {
        if (!closed) {
            closed = true;
            refuseWaiting(now);
        }
    }

    private void refuseWaiting(long now) {
        gate.takeWaiting().forEach(run -> answers.refuse(now, run, RefusalReason.DRAINING, Step.QUEUE));
        places.all().forEach(run -> endPlace(now, run, BodyCount.PLACE_RELEASED, RefusalReason.DRAINING));
    }

    /** Returns the usual time of a request at the copy, its calls included, in nanoseconds. */
    long usualRunNanos() {
        return gate.usualRunNanos();
    }

    void accept(long now, Optional<NodeName> sender, CopyRequest request) {
        LocalRun run = new LocalRun(request, sender, now);
        // Guards against two runs with the same attempt identifier: one could get the answer of the other.
        if (gate.find(request.attempt()).isPresent()) {
            answers.reply(now, run, answers.refusal(now, RefusalReason.DUPLICATE, Step.QUEUE));
            return;
        }
        if (CopyRequests.isQuestion(request)) {
            answers.reply(now, run, answers.refusal(now, RefusalReason.DEADLINE, Step.QUEUE));
            return;
        }
        if (closed) {
            answers.reply(now, run, answers.refusal(now, RefusalReason.DRAINING, Step.QUEUE));
            return;
        }
        if (localCopy.mayBe(request.copy())) {
            sender.ifPresent(node -> notices.relayed(now, node, request));
        }
        admit(now, run);
        startNext(now);
    }

    /** Starts, queues or refuses a request, depending on whether it is suspected. */
    private void admit(long now, LocalRun run) {
        if (isAtLeavingCopy(now, run)) {
            answers.refuse(now, run, RefusalReason.DRAINING, Step.QUEUE);
            return;
        }
        if (!gate.hasMemoryFor(run)) {
            answers.refuse(now, run, RefusalReason.QUEUE_FULL, Step.QUEUE);
            return;
        }
        if (run.request().bodyFollows()) {
            // It is compared with suspected requests once it is whole.
            offer(now, run);
            return;
        }
        switch (suspects.placement(now, run.request())) {
            case Placement.Unsuspected _ -> {
                run.clear();
                offer(now, run);
            }
            case Placement.OnlyHere(Fingerprint fingerprint, boolean alone) -> {
                run.suspect(fingerprint, alone);
                if (!gate.enqueueSuspect(run)) {
                    answers.refuse(now, run, RefusalReason.QUEUE_FULL, Step.QUEUE);
                }
            }
            case Placement.Refused(Outcome.NotRun refusal) -> answers.reply(now, run, refusal);
        }
    }

    /** Checks all waiting and running requests again, after suspicions have changed. */
    void recheck(long now) {
        gate.all().stream()
                .filter(run -> run.isSentToCopy() && suspects.isSuspected(now, run.request()))
                .forEach(gate::suspectRunning);
        readmitWaiting(now);
    }

    /**
     * Offers the waiting requests again: what decides about them has changed. Slots that are kept at a leaving copy are
     * given up.
     */
    private void readmitWaiting(long now) {
        gate.takeWaiting().forEach(run -> admit(now, run));
        places.all().stream()
                .filter(run -> isAtLeavingCopy(now, run))
                .forEach(run -> endPlace(now, run, BodyCount.PLACE_RELEASED, RefusalReason.DRAINING));
        startNext(now);
    }

    private boolean isAtLeavingCopy(long now, LocalRun run) {
        return !localCopy.takes(now, run.request().copy());
    }

    private void offer(long now, LocalRun run) {
        switch (gate.offer(now, run)) {
            case CopyGate.Offered.Started _ -> started(now, run);
            case CopyGate.Offered.Waits(Optional<LocalRun> evicted) -> {
                work.waits(now, run);
                evicted.ifPresent(other -> answers.refuse(now, other, RefusalReason.EVICTED, Step.QUEUE));
            }
            case CopyGate.Offered.Full _ -> answers.refuse(now, run, RefusalReason.QUEUE_FULL, Step.QUEUE);
            case CopyGate.Offered.OverRate _ -> answers.refuse(now, run, RefusalReason.COPY_RATE_LIMITED, Step.QUEUE);
            case CopyGate.Offered.TooLate _ -> {
                work.refusedOnArrival(now, run);
                answers.refuse(now, run, RefusalReason.DEADLINE, Step.QUEUE);
            }
        }
    }

    /** Sends a request that has got a slot to the copy, or asks for its body, unless the copy leaves. */
    private void started(long now, LocalRun run) {
        if (isAtLeavingCopy(now, run)) {
            release(now, run, CopyGate.Ending.BROKEN_OFF);
            answers.refuse(now, run, RefusalReason.DRAINING, Step.QUEUE);
        } else if (run.holdsPlace()) {
            places.grant(now, run, run.deadlineNanos() - ANSWER_MARGIN_NANOS);
        } else {
            sendToCopy(run);
        }
    }

    /** Sends a request to the copy whose body has followed, unless copies crashed while they ran it. */
    void bodyReceived(long now, NodeName from, AttemptBody message) {
        endLapsedPlaces(now);
        places.bodyArrived(gate.find(message.attempt()), from).ifPresent(run -> {
            if (!gate.hasMemoryFor(run, message.body())) {
                endPlace(now, run, BodyCount.PLACE_RELEASED, RefusalReason.QUEUE_FULL);
                startNext(now);
                return;
            }
            CopyRequest whole = HeldPlaces.whole(now, run, message.body());
            if (suspects.isClear(now, whole) && localCopy.takes(now, whole.copy())) {
                gate.bodyArrived(now, run, whole);
                sendToCopy(run);
            } else {
                release(now, run, CopyGate.Ending.BROKEN_OFF);
                admit(now, new LocalRun(whole, run.sender(), now));
                startNext(now);
            }
        });
    }

    /** Ends the place of a request whose body could not be asked for. */
    void grantUnsent(long now, AttemptIdentifier attempt) {
        gate.find(attempt).filter(LocalRun::holdsPlace).ifPresent(run -> {
            endPlace(now, run, BodyCount.GRANT_UNSENT, RefusalReason.PEER_UNREACHABLE);
            startNext(now);
        });
    }

    private void endLapsedPlaces(long now) {
        List<LocalRun> lapsed = places.lapsed(now);
        lapsed.forEach(run -> endPlace(now, run, BodyCount.PLACE_LAPSED, RefusalReason.PEER_UNREACHABLE));
        if (!lapsed.isEmpty()) {
            startNext(now);
        }
    }

    /** Gives up the slot of a request without its body: the copy did not run it. */
    private void endPlace(long now, LocalRun run, BodyCount counted, RefusalReason reason) {
        places.ended(now, run, counted, reason);
        release(now, run, CopyGate.Ending.BROKEN_OFF);
        answers.refuse(now, run, reason, Step.QUEUE);
    }

    private void sendToCopy(LocalRun run) {
        CopyRequest request = run.request();
        runningByName.put(request.requestName(), run);
        effects.add(new FleetEffect.SendToCopy(
                request.attempt(),
                request.copy(),
                request.callerService(),
                request.organisation(),
                request.requestName(),
                request.content(),
                run.deadlineNanos()));
    }

    /** Ends a request at the copy, and takes in what the copy's answer states about the copy. */
    void answered(long now, FleetEvent.CopyAnswered event) {
        Optional<LocalRun> run = gate.find(event.attempt());
        if (run.isPresent()) {
            event.notice().ifPresent(notice -> noticed(now, run.get().request().copy(), notice));
            answered(now, run.get(), event.outcome());
        }
    }

    private void noticed(long now, CopyName copy, CopyNotice notice) {
        if (notices.received(now, copy, notice)) {
            applyLeaving(now);
            readmitWaiting(now);
        }
    }

    private void answered(long now, AttemptIdentifier attempt, Outcome outcome) {
        gate.find(attempt).ifPresent(run -> answered(now, run, outcome));
    }

    private void answered(long now, LocalRun run, Outcome outcome) {
        if (outcome instanceof Outcome.NotRun notRun && notRun.reason() == RefusalReason.COPY_REFUSED) {
            gate.refused();
        } else if (outcome instanceof Outcome.Answered) {
            gate.answered();
        }
        release(now, run, ending(outcome));
        if (!(outcome instanceof Outcome.Answered)) {
            answers.logFailure(now, run, outcome);
        }
        answers.reply(now, run, outcome);
        if (outcome instanceof Outcome.Answered && suspects.answered(now, run.request())) {
            recheck(now);
        }
        startNext(now);
    }

    private static CopyGate.Ending ending(Outcome outcome) {
        if (outcome instanceof Outcome.Answered) {
            return AttemptRules.isSuccess(outcome) ? CopyGate.Ending.DONE : CopyGate.Ending.FAILED;
        }
        return CopyGate.Ending.BROKEN_OFF;
    }

    private void release(long now, LocalRun run, CopyGate.Ending ending) {
        if (run.isRunning()) {
            runningByName.remove(run.request().requestName(), run);
        }
        gate.finished(now, run, ending);
    }

    private void startNext(long now) {
        gate.delaySuspectsUntil(suspects.earliestSuspectRunNanos());
        gate.startNext(now).forEach(run -> started(now, run));
    }

    /** Ends a request that its sender has cancelled: removes it from the queue, or cancels it at the copy. */
    void cancelled(long now, AttemptIdentifier attempt) {
        gate.find(attempt).ifPresent(run -> {
            if (run.isSentToCopy()) {
                effects.add(new FleetEffect.CancelAtCopy(attempt));
            }
            places.ended(now, run, BodyCount.PLACE_RELEASED, RefusalReason.CANCELLED);
            release(now, run, CopyGate.Ending.BROKEN_OFF);
            startNext(now);
        });
    }

    /** Refuses a request that its sender takes back, unless it has begun at the copy. */
    void withdrawn(long now, NodeName sender, AttemptIdentifier attempt) {
        gate.find(attempt)
                .filter(run -> run.sender().filter(sender::equals).isPresent() && !run.isSentToCopy())
                .ifPresent(run -> {
                    places.ended(now, run, BodyCount.PLACE_RELEASED, RefusalReason.DRAINING);
                    release(now, run, CopyGate.Ending.BROKEN_OFF);
                    answers.refuse(now, run, RefusalReason.DRAINING, Step.QUEUE);
                    startNext(now);
                });
    }

    /**
     * Ends the requests of a node whose connection ended, which retries the idempotent ones elsewhere. A running request
     * that is not idempotent continues: cancelling it would leave it half done, and no node could retry it. One that
     * waits is refused, so that its sender may try another copy once it is connected again.
     */
    void senderLost(long now, NodeName sender) {
        List<LocalRun> runs = runsOf(sender);
        // The waiting ones first: each free slot would start the next of them.
        runs.stream().filter(run -> !run.isSentToCopy()).forEach(run -> {
            places.ended(now, run, BodyCount.PLACE_RELEASED, RefusalReason.PEER_UNREACHABLE);
            release(now, run, CopyGate.Ending.BROKEN_OFF);
            if (!run.request().idempotent()) {
                answers.refuse(now, run, RefusalReason.PEER_UNREACHABLE, Step.QUEUE);
            }
        });
        runs.stream()
                .filter(run -> run.isSentToCopy() && run.request().idempotent())
                .forEach(run -> cancelled(now, run.request().attempt()));
        startNext(now);
    }

    /** Ends the running requests of other nodes, which learn at once that they may have run: this process ends. */
    void endRunsOfOtherNodes(long now) {
        gate.all().stream()
                .filter(run -> run.isSentToCopy() && run.sender().isPresent())
                .toList()
                .forEach(run -> endAsUnknown(now, run, UnknownReason.PEER_LOST));
    }

    /** Notes that the process that sent these requests has ended: its successor must not get their answers. */
    void senderRestarted(NodeName sender) {
        runsOf(sender).forEach(LocalRun::senderEnded);
    }

    private List<LocalRun> runsOf(NodeName sender) {
        return gate.all().stream()
                .filter(run -> run.sender().filter(sender::equals).isPresent())
                .toList();
    }

    void passTime(long now) {
        if (now >= localCopy.nextGoneNanos()) {
            applyLeaving(now);
        }
        endLapsedPlaces(now);
        List<LocalRun> overdue = gate.takeOverdue(now, ANSWER_MARGIN_NANOS);
        overdue.forEach(run -> {
            work.refusedInQueue(now, run, ANSWER_MARGIN_NANOS);
            answers.refuse(now, run, RefusalReason.DEADLINE, Step.QUEUE);
        });
        if (now >= gate.nextReleaseNanos()) {
            startNext(now);
        }
    }

    /** Logs the limit of requests in flight if it changed. */
    void logLimit(long now) {
        LoadReport load = gate.load(now);
        if (load.limit() != loggedLimit) {
            loggedLimit = load.limit();
            effects.log(new Decision.LimitChanged(load.limit(), load.inFlight(), load.queued()));
        }
        work.logDivision(now);
    }

    /**
     * Ends requests whose answer is long overdue. Guards against an answer that never comes, for example on a
     * connection that went silent: each such request would hold its slot forever, and the copy would look busier.
     */
    void endOverdue(long now) {
        for (LocalRun run : gate.all()) {
            if (run.isSentToCopy() && now - run.deadlineNanos() > OVERDUE_NANOS) {
                endAsUnknown(now, run, UnknownReason.DEADLINE);
            }
        }
    }

    long nextNanos() {
        long waiting = Math.min(gate.nextOverdueNanos(ANSWER_MARGIN_NANOS), gate.nextReleaseNanos());
        return Math.min(Math.min(waiting, localCopy.nextGoneNanos()), places.nextNanos());
    }
}
