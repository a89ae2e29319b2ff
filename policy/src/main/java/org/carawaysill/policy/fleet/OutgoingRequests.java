package org.carawaysill.policy.fleet;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.carawaysill.model.identity.AttemptIdentifier;
import org.carawaysill.model.identity.ExchangeIdentifier;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.model.request.BodyCount;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.model.request.RefusalReason;
import org.carawaysill.model.request.RetryReason;
import org.carawaysill.model.request.Step;
import org.carawaysill.policy.fleet.body.LargeBodies;
import org.carawaysill.policy.fleet.body.RequestBytes;
import org.carawaysill.policy.fleet.copy.Copy;
import org.carawaysill.policy.fleet.copy.CopyChoice;
import org.carawaysill.policy.fleet.placing.Placing;
import org.carawaysill.policy.fleet.retry.RetrySettings;
import org.carawaysill.policy.message.PeerMessage;
import org.carawaysill.policy.message.PeerMessage.CopyRequest;
import org.carawaysill.policy.message.PeerMessage.SlotTime;

/**
 * The requests that entered at this node, from its clients and from its own copy.
 *
 * <p>Invariants: each request gets one final answer, by its deadline at the latest; a request that is not idempotent is
 * sent again only when it is certain that no copy ran it; no more copies get a request than its route allows. Not
 * thread safe: owned by the policy.
 */
final class OutgoingRequests {

    /** Below this success share, a copy that fails while others do not gets hardly any requests, which is logged. */
    private static final double TRUSTED_SUCCESS = 0.5;

    private final FleetSettings settings;
    private final Effects effects;
    private final PublishedView view;
    private final Peers peers;
    private final ReachableNodes reachableNodes;
    private final LocalRuns localRuns;
    private final RandomGenerator random;
    private final CopyChoice choice;
    private final LargeBodies largeBodies;
    private final RequestBytes requestBytes;
    private final RequestPlacing placings;
    private final CrashSuspects suspects;
    private final RetryLimiter retryLimiter;
    private final Admission admission;
    private final Arrivals arrivals;
    private final FinalAnswers answers;
    private final LinkWaits linkWaits;
    private final Withdrawals withdrawals;
    private final Map<ExchangeIdentifier, OutgoingRequest> byExchange = new HashMap<>();
    private final Map<AttemptIdentifier, OutgoingRequest> byAttempt = new HashMap<>();
    private final RequestDeadlines deadlines = new RequestDeadlines();

    OutgoingRequests(FleetParts parts, RandomGenerator random) {
        this.settings = parts.settings();
        this.effects = parts.effects();
        this.view = parts.view();
        this.peers = parts.peers();
        this.reachableNodes = parts.reachableNodes();
        this.localRuns = parts.localRuns();
        this.suspects = parts.suspects();
        this.random = random;
        choice = new CopyChoice(settings.self(), settings.zone(), settings.disabledMechanisms(), random);
        largeBodies = new LargeBodies(settings.disabledMechanisms());
        requestBytes = new RequestBytes(largeBodies);
        placings = new RequestPlacing(parts);
        retryLimiter = new RetryLimiter(parts);
        admission = new Admission(parts, random);
        answers = new FinalAnswers(parts);
        linkWaits = new LinkWaits(effects, settings.service());
        withdrawals = new Withdrawals(parts);
        arrivals = new Arrivals(view, admission, answers);
        localRuns.localSender(this::answered);
    }

    boolean isEmpty() {
        return byExchange.isEmpty();
    }

    int count() {
        return byExchange.size();
    }

    /** Returns the number of attempts that were sent and are not answered. */
    int sentCount() {
        return byAttempt.size();
    }

    /** Returns the nodes with a pending reply. */
    Set<NodeName> nodesWithPendingReply() {
        Set<NodeName> nodes = new HashSet<>();
        byAttempt.values().forEach(request -> request.copy().ifPresent(copy -> nodes.add(copy.node())));
        nodes.remove(settings.self());
        return nodes;
    }

    /** Removes the statistics of routes that are no longer published. */
    void routes(Collection<String> names) {
        requestBytes.retain(names);
        placings.retain(names);
    }

    void retries(RetrySettings bound) {
        retryLimiter.settings(bound);
    }

    void nodeCount(int count) {
        retryLimiter.nodeCount(count);
    }

    /** Sets which requests are accepted from now on; requests accepted before are not affected. */
    void setIntake(Arrivals.Intake intake) {
        arrivals.setIntake(intake);
    }

    void arrived(long now, FleetEvent.RequestArrived arrival) {
        arrivals.accept(now, arrival).ifPresent(request -> begin(now, request));
    }

    private void begin(long now, OutgoingRequest request) {
        request.origin().parent().ifPresent(parent -> parent.callBegan(now));
        byExchange.put(request.arrival().exchange(), request);
        deadlines.add(request);
        Optional<Outcome.NotRun> refusal = suspects.refusal(now, request).or(() -> admission.refusal(now, request));
        if (refusal.isPresent()) {
            finish(now, request, refusal.get());
        } else {
            send(now, request);
        }
    }

    private void send(long now, OutgoingRequest request) {
        ServiceName service = request.service();
        List<Copy> copies = view.copies().usable(service);
        double bytes = requestBytes.of(request.route(), request.body());
        boolean first = request.sentAttempts() == 0;
        Predicate<NodeName> mayRun = node -> request.maySendTo(node)
                && (first || withdrawals.mayStart(now, view.copies().beside(node)));
        Predicate<NodeName> mayReceive = node -> mayRun.test(node) && reachableNodes.contains(now, node);
        Placing placing = placings.of(now, request, copies, bytes);
        Optional<Copy> chosen = choice.choose(
                        now, placing, copies, request.tried(), request.isSentBack(), bytes, mayReceive)
                .or(() -> choice.choose(
                        now,
                        placing,
                        copies,
                        request.tried(),
                        request.isSentBack(),
                        bytes,
                        node -> mayRun.test(node) && reachableNodes.containsAsLastResort(now, node)));
        if (chosen.isEmpty()) {
            finish(now, request, EntryOutcomes.noCopy());
            return;
        }
        Copy copy = chosen.get();
        double load = copy.expectedLoad(now, settings.disabledMechanisms());
        AttemptIdentifier attempt = new AttemptIdentifier(random.nextLong(), random.nextLong());
        request.sent(copy, attempt);
        if (!copy.node().equals(settings.self()) && largeBodies.follows(request.route(), request.body())) {
            request.awaitPlace();
        }
        copy.sent();
        byAttempt.put(attempt, request);
        if (request.sentAttempts() == 1) {
            retryLimiter.countFirstSend(now, service);
        }
        effects.log(request.describeSend(copy, load, view.version()));
        boolean lastChoice = !AttemptRules.hasTimeAndSendsLeft(now, request)
                || !choice.hasOtherWithinPace(copies, request.tried(), mayReceive);
        CopyRequest message = CopyRequests.of(now, request, copy, attempt, settings.service(), lastChoice);
        if (copy.node().equals(settings.self())) {
            localRuns.accept(now, Optional.empty(), message);
        } else {
            effects.add(new FleetEffect.SendToPeer(copy.node(), message));
            peers.expectReply(now, copy.node());
        }
    }

    /** Takes back what waits for copies of other nodes too late to be answered before this process ends. */
    void withdrawWaiting(long now, StopSchedule schedule) {
        withdrawals.stopping(schedule);
        for (AttemptIdentifier attempt : List.copyOf(byAttempt.keySet())) {
            OutgoingRequest request = byAttempt.get(attempt);
            Copy copy = request.copy().orElseThrow();
            if (copy.node().equals(settings.self()) || withdrawals.mayStart(now, copy)) {
                continue;
            }
            if (request.awaitsPlace()) {
                endWithoutBody(now, copy.node(), attempt, EntryOutcomes.bodyUnsent());
            } else {
                withdrawals.ask(now, attempt, copy.node());
            }
        }
    }

    /** Returns when the next request is to be taken back. */
    long nextWithdrawalNanos(long now) {
        return byAttempt.values().stream()
                .flatMap(request -> request.copy().stream())
                .filter(copy -> withdrawals.mayStart(now, copy))
                .mapToLong(withdrawals::lastStartNanos)
                .min()
                .orElse(Long.MAX_VALUE);
    }

    Withdrawals withdrawals() {
        return withdrawals;
    }

    /** Answers all requests because the time for a stop is over, and returns how many; runs at other nodes go on. */
    int giveUp(long now) {
        List<OutgoingRequest> left = List.copyOf(byExchange.values());
        for (OutgoingRequest request : left) {
            Outcome outcome = EntryOutcomes.atEndOfStop(request);
            request.attempt().ifPresent(attempt -> forget(request, attempt));
            finish(now, request, outcome);
        }
        return left.size();
    }

    /** Sends the body of an attempt to the node that has a place for it. */
    void placeGranted(long now, NodeName from, AttemptIdentifier attempt) {
        OutgoingRequest request = byAttempt.get(attempt);
        if (request == null || !request.awaitsPlace() || !request.isAt(from)) {
            effects.count(BodyCount.GRANT_IGNORED);
            return;
        }
        if (request.copy().filter(view.copies()::isUsable).isEmpty()) {
            endWithoutBody(now, from, attempt, EntryOutcomes.bodyUnsent());
            return;
        }
        request.bodySent();
        effects.count(BodyCount.BODY_SENT);
        effects.add(new FleetEffect.SendToPeer(from, new PeerMessage.AttemptBody(attempt, request.body())));
        peers.expectReply(now, from);
    }

    /** Ends an attempt whose body was not sent, here and at the node that has a place for it. */
    void bodyUnsent(long now, NodeName peer, AttemptIdentifier attempt) {
        effects.count(BodyCount.BODY_UNSENT);
        if (byAttempt.containsKey(attempt)) {
            endWithoutBody(now, peer, attempt, EntryOutcomes.unreachable(Step.PEER_SEND));
        }
    }

    private void endWithoutBody(long now, NodeName peer, AttemptIdentifier attempt, Outcome.NotRun outcome) {
        effects.add(new FleetEffect.SendToPeer(peer, new PeerMessage.CancelAttempt(attempt)));
        answered(now, attempt, outcome, List.of());
    }

    void peerAnswered(long now, NodeName from, PeerMessage.CopyAnswer answer) {
        OutgoingRequest request = byAttempt.get(answer.attempt());
        if (request == null || request.copy().isEmpty()) {
            return;
        }
        Copy copy = request.copy().get();
        if (copy.node().equals(from)) {
            noteLeaving(copy, answer);
            linkWaits
                    .outcome(now, answer.attempt(), answer.outcome())
                    .ifPresent(outcome -> answered(now, answer.attempt(), outcome, answer.times()));
            copy.receiveLoad(now, answer.load());
        }
    }

    /** Ends an attempt at this node's own copy. */
    private void answered(long now, PeerMessage.CopyAnswer answer) {
        Optional.ofNullable(byAttempt.get(answer.attempt()))
                .flatMap(OutgoingRequest::copy)
                .ifPresent(copy -> noteLeaving(copy, answer));
        answered(now, answer.attempt(), answer.outcome(), answer.times());
    }

    /** Sends no more work to a copy whose own answer says that it leaves, whatever is published. */
    private void noteLeaving(Copy copy, PeerMessage.CopyAnswer answer) {
        if (answer.copyLeaves()) {
            view.copyLeaves(copy);
        }
    }

    private void answered(long now, AttemptIdentifier attempt, Outcome outcome, List<SlotTime> times) {
        OutgoingRequest request = byAttempt.remove(attempt);
        if (request == null) {
            return;
        }
        linkWaits.ended(now, attempt, outcome);
        withdrawals.ended(attempt, outcome);
        request.times().addAll(times);
        Copy copy = request.copy().orElseThrow();
        request.attemptEnded();
        recordOutcome(now, copy, outcome);
        placings.ended(now, request, copy, outcome, times);
        switch (outcome) {
            case Outcome.Answered whole -> {
                requestBytes.answered(
                        request.route().name(), whole.content().body().length());
                finish(now, request, outcome);
            }
            case Outcome.NotRun notRun -> afterNotRun(now, request, copy, notRun);
            case Outcome.Unknown unknown -> afterUnknown(now, request, copy, unknown);
        }
    }

    private void recordOutcome(long now, Copy copy, Outcome outcome) {
        boolean trusted = copy.success(now) >= TRUSTED_SUCCESS;
        AttemptRules.recordOutcome(now, copy, outcome);
        if (trusted != copy.success(now) >= TRUSTED_SUCCESS) {
            effects.log(new Decision.CopyJudged(copy.record().copy(), copy.success(now)));
        }
    }

    private void afterNotRun(long now, OutgoingRequest request, Copy copy, Outcome.NotRun notRun) {
        boolean reachedCopy = notRun.reason() == RefusalReason.COPY_REFUSED;
        if (notRun.reason() == RefusalReason.SUSPECTED) {
            notRun.peer().ifPresent(request::restrictTo);
        }
        if (notRun.reason() == RefusalReason.COPY_RATE_LIMITED) {
            request.sentBack();
        }
        if (reachedCopy) {
            request.countPossibleRun();
        }
        boolean again = AttemptRules.mayTryAnotherCopy(notRun.reason())
                && AttemptRules.hasTimeAndSendsLeft(now, request)
                && (!reachedCopy || retryLimiter.tryTake(now, request));
        if (again) {
            retry(now, request, copy, notRun, AttemptRules.retryReason(notRun.reason()));
        } else {
            finish(now, request, notRun);
        }
    }

    private void afterUnknown(long now, OutgoingRequest request, Copy copy, Outcome.Unknown unknown) {
        request.countPossibleRun();
        request.answerLost(unknown);
        boolean again = request.route().idempotent()
                && AttemptRules.mayTryAnotherCopy(unknown.reason())
                && AttemptRules.hasTimeAndSendsLeft(now, request)
                && retryLimiter.tryTake(now, request);
        if (again) {
            retry(now, request, copy, unknown, RetryReason.ANSWER_LOST);
        } else {
            finish(now, request, unknown);
        }
    }

    private void retry(long now, OutgoingRequest request, Copy copy, Outcome outcome, RetryReason reason) {
        effects.count(reason);
        effects.log(new Decision.Retried(
                request.arrival().requestName(), outcome, copy.record().copy(), request.sentAttempts()));
        send(now, request);
    }

    private void finish(long now, OutgoingRequest request, Outcome outcome) {
        deadlines.remove(request);
        byExchange.remove(request.arrival().exchange());
        request.origin().parent().ifPresent(parent -> {
            parent.times().addAll(request.times().list());
            parent.callEnded(now);
        });
        Outcome answer = request.answer(outcome);
        admission.refund(now, request, answer);
        answers.answer(now, request, answer);
    }

    /** Cancels requests whose client has disconnected. */
    void exchangeClosed(long now, ExchangeIdentifier exchange) {
        OutgoingRequest request = byExchange.remove(exchange);
        if (request == null) {
            return;
        }
        deadlines.remove(request);
        request.origin().parent().ifPresent(parent -> parent.callEnded(now));
        effects.count(RefusalReason.CANCELLED);
        effects.log(new Decision.Abandoned(
                request.arrival().requestName(), request.sentAttempts(), now - request.arrivedNanos()));
        cancelAttempt(now, request);
    }

    private void cancelAttempt(long now, OutgoingRequest request) {
        request.attempt().ifPresent(attempt -> {
            Copy copy = request.copy().orElseThrow();
            forget(request, attempt);
            if (copy.node().equals(settings.self())) {
                localRuns.cancelled(now, attempt);
            } else {
                effects.add(new FleetEffect.SendToPeer(copy.node(), new PeerMessage.CancelAttempt(attempt)));
            }
        });
    }

    /** Waits no longer for an attempt. */
    private void forget(OutgoingRequest request, AttemptIdentifier attempt) {
        byAttempt.remove(attempt);
        linkWaits.cancelled(attempt);
        request.copy().orElseThrow().withdrawn();
        request.attemptEnded();
    }

    void unsent(long now, CopyRequest message) {
        if (CopyRequests.isQuestion(message)) {
            linkWaits.unsent(now, message.attempt());
        } else {
            answered(now, message.attempt(), EntryOutcomes.unreachable(Step.PEER_SEND), List.of());
        }
    }

    /** Ends the attempts at a lost node that may be repeated; the others wait for the next connection to it. */
    void peerLost(long now, NodeName peer) {
        List<AttemptIdentifier> lost = byAttempt.entrySet().stream()
                .filter(entry -> entry.getValue().isAt(peer))
                .map(Map.Entry::getKey)
                .toList();
        for (AttemptIdentifier attempt : lost) {
            OutgoingRequest request = byAttempt.get(attempt);
            if (request.awaitsPlace()) {
                answered(now, attempt, EntryOutcomes.unreachable(Step.PEER_WAIT), List.of());
            } else if (request.route().idempotent()) {
                answered(now, attempt, LinkWaits.lost(peer), List.of());
            } else {
                linkWaits.hold(now, attempt, request, peer);
            }
        }
    }

    /** Goes on with the attempts that wait for a node, or ends them if another process of it has connected. */
    void peerConnected(long now, NodeName peer, boolean sameProcess) {
        linkWaits
                .connected(peer, sameProcess)
                .forEach(attempt -> answered(now, attempt, LinkWaits.lost(peer), List.of()));
    }

    void passTime(long now) {
        linkWaits.askAgain(now, peers::isConnected);
        for (AttemptIdentifier attempt : linkWaits.overdue(now)) {
            NodeName peer = byAttempt.get(attempt).copy().orElseThrow().node();
            answered(now, attempt, LinkWaits.lost(peer), List.of());
        }
        for (Optional<OutgoingRequest> due = deadlines.takeDue(now); due.isPresent(); due = deadlines.takeDue(now)) {
            OutgoingRequest request = due.get();
            Outcome outcome = EntryOutcomes.atDeadline(request);
            cancelAttempt(now, request);
            finish(now, request, outcome);
        }
    }

    long nextNanos() {
        return Math.min(deadlines.nextNanos(), linkWaits.nextNanos());
    }
}
