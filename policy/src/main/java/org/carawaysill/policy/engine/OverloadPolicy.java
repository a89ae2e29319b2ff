package org.carawaysill.policy.engine;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.carawaysill.model.configuration.ServiceConfiguration;
import org.carawaysill.model.identity.ExchangeIdentifier;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.request.Invariant;
import org.carawaysill.policy.NodePolicy;
import org.carawaysill.policy.admission.ChainCuts;
import org.carawaysill.policy.admission.CopyAdmission;
import org.carawaysill.policy.distribution.DocumentParser;
import org.carawaysill.policy.effect.Effect;
import org.carawaysill.policy.effect.NodeStatus;
import org.carawaysill.policy.event.Event;
import org.carawaysill.policy.message.PeerMessage;
import org.carawaysill.policy.message.PeerMessage.RosterMember;
import org.carawaysill.policy.ownership.Holder;
import org.carawaysill.policy.time.Moment;

/**
 * Implements the overload control of one node: admission, retries, ownership, routing and configuration.
 *
 * <p>Invariant: the same events at the same moments give the same effects, for the same seed. Not thread safe: one thread
 * owns it.
 */
public final class OverloadPolicy implements NodePolicy {

    private static final long STATUS_INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();
    private static final long DRAIN_GRACE_NANOS = Duration.ofSeconds(2).toNanos();

    private final NodeIdentity identity;
    private final EngineParts parts;
    private final Outbox out;
    private final ControlPlane control;
    private final CopyAdmission admission;
    private final ChainCuts chainCuts;
    private final Holder holder;
    private final WorkRunner runner;
    private final CallerRequests callerRequests;
    private final CopyCalls copyCalls;
    private final PeerRequests peerRequests;
    private long nextStatusNanos;
    private long lastNanos;
    private long mayStopNanos = Long.MAX_VALUE;
    private boolean leaving;
    private boolean stopped;
    private int violationsCounted;

    /**
     * Creates the policy of a node that has just started.
     *
     * @param identity the identity of the node
     * @param self the node as the roster lists it
     * @param settings the settings of all features
     * @param parser the checks that a document must pass
     * @param random the source of identifiers and jitter
     * @param start the moment at which the process started
     */
    public OverloadPolicy(
            NodeIdentity identity,
            RosterMember self,
            PolicySettings settings,
            DocumentParser parser,
            RandomGenerator random,
            Moment start) {
        this.identity = identity;
        EngineAssembly assembly = new EngineAssembly(identity, settings, parser, random, start);
        holder = assembly.holder(self);
        parts = assembly.assemble(holder);
        out = parts.out();
        control = parts.control();
        admission = parts.admission();
        chainCuts = parts.chainCuts();
        runner = new WorkRunner(parts);
        parts.ownership().runner(runner);
        parts.clientRetries().runner(runner);
        callerRequests = new CallerRequests(parts, runner);
        copyCalls = new CopyCalls(parts, runner);
        peerRequests = new PeerRequests(parts, runner);
        nextStatusNanos = start.nanos();
        lastNanos = start.nanos();
    }

    @Override
    public List<Effect> decide(Moment now, Event event) {
        lastNanos = now.nanos();
        if (!control.carriesWork(event)) {
            control.handle(now, event).forEach(document -> adopt(now, document));
            control.refreshStates(now).forEach(peer -> runner.peerSuspected(now, peer));
        }
        switch (event) {
            case Event.CallerRequest request -> callerRequests.accept(now, request);
            case Event.CopyCall call -> copyCalls.accept(now, call);
            case Event.ExchangeClosed closed -> exchangeClosed(now, closed.exchange());
            case Event.CopyAnswered answered -> runner.copyAnswered(now, answered.attempt(), answered.outcome());
            case Event.PeerReceived received -> peerReceived(now, received);
            case Event.PeerUnsent(NodeName peer, PeerMessage.PeerRequest request) ->
                runner.unsent(now, peer, request.attempt());
            case Event.PeerUnsent _, Event.PeerConnected _ -> {}
            case Event.PeerLost lost -> runner.peerLost(now, lost.peer());
            case Event.VmListRead read -> holder.vmList(now, read.list());
            case Event.DrainOrdered _ -> drain(now);
            case Event.ConfigurationRead _,
                    Event.ConfigurationUnchanged _,
                    Event.ConfigurationRefused _,
                    Event.ConfigurationReadFailed _,
                    Event.WakeUp _ -> {}
        }
        processDue(now);
        return out.drain();
    }

    private void adopt(Moment now, ServiceConfiguration document) {
        // Publishes the status at once, so that an operator waiting for a version sees it without the regular delay.
        nextStatusNanos = now.nanos();
        if (document.service().equals(identity.service())) {
            document.copy(identity.node()).ifPresent(copy -> admission.slots(copy.slots()));
            out.addAll(holder.roster(now, document));
        }
    }

    private void peerReceived(Moment now, Event.PeerReceived received) {
        control.workReceived(now, received);
        NodeName from = received.from();
        switch (received.message()) {
            case PeerMessage.PeerRequest request -> peerRequests.accept(now, from, request);
            case PeerMessage.PeerAnswer answer -> {
                recordCuts(now, from, answer);
                runner.peerAnswered(now, from, answer);
            }
            case PeerMessage.CancelAttempt cancel -> peerRequests.cancelled(now, from, cancel.attempt());
            case PeerMessage.LeaseRequest request -> out.addAll(holder.requested(now, from, request));
            case PeerMessage.LeaseReply reply -> out.addAll(holder.replied(now, from, reply));
            case PeerMessage.HolderHandover handover -> holder.accept(now, from, handover);
            case PeerMessage.Heartbeat _,
                    PeerMessage.DrainNotice _,
                    PeerMessage.ConfigurationWanted _,
                    PeerMessage.ConfigurationDocument _,
                    PeerMessage.ConfigurationChange _,
                    PeerMessage.CopyRequest _,
                    PeerMessage.CopyAnswer _,
                    PeerMessage.NodeReport _,
                    PeerMessage.ReportWanted _,
                    PeerMessage.GroupSummary _,
                    PeerMessage.FleetSummary _,
                    PeerMessage.EntriesWanted _,
                    PeerMessage.Suspicions _,
                    PeerMessage.PlaceGranted _,
                    PeerMessage.AttemptBody _,
                    PeerMessage.WithdrawAttempt _,
                    PeerMessage.Entries _ -> {}
        }
    }

    private void recordCuts(Moment now, NodeName from, PeerMessage.PeerAnswer answer) {
        parts.table()
                .byAttempt(answer.attempt())
                .flatMap(work -> work.origins().stream()
                        .filter(origin -> origin instanceof WorkOrigin.FromCopy)
                        .map(origin -> ((WorkOrigin.FromCopy) origin).parentOperation())
                        .findFirst())
                .ifPresent(operation -> chainCuts.recordCuts(now.nanos(), operation, from, answer.cuts()));
    }

    private void exchangeClosed(Moment now, ExchangeIdentifier exchange) {
        Optional<Work> found = parts.table().byExchange(exchange);
        found.ifPresent(work -> work.origins().stream()
                .filter(origin -> isExchange(origin, exchange))
                .findFirst()
                .ifPresent(origin -> runner.originClosed(now, work, origin)));
    }

    private static boolean isExchange(WorkOrigin origin, ExchangeIdentifier exchange) {
        return switch (origin) {
            case WorkOrigin.FromCaller caller -> caller.exchange().equals(exchange);
            case WorkOrigin.FromCopy copy -> copy.exchange().equals(exchange);
            case WorkOrigin.FromPeer peer -> false;
        };
    }

    private void drain(Moment now) {
        if (mayStopNanos != Long.MAX_VALUE) {
            return;
        }
        mayStopNanos = now.nanos() + DRAIN_GRACE_NANOS;
        callerRequests.refuseFrom(mayStopNanos);
        stopAcceptingWork(now);
        out.addAll(holder.handover(now));
    }

    private void stopAcceptingWork(Moment now) {
        if (!leaving) {
            leaving = true;
            runner.drain(now.nanos());
            peerRequests.drain();
        }
    }

    private void processDue(Moment now) {
        if (control.isLeaving()) {
            stopAcceptingWork(now);
        }
        runner.apply(now, admission.wakeUp(now.nanos()));
        Optional<Work> due = parts.timers().pollDue(now.nanos());
        while (due.isPresent()) {
            runner.due(now, due.get());
            due = parts.timers().pollDue(now.nanos());
        }
        out.addAll(holder.wakeUp(now));
        if (now.nanos() >= nextStatusNanos) {
            nextStatusNanos = now.nanos() + STATUS_INTERVAL_NANOS;
            countViolations();
            out.add(new Effect.PublishStatus(status(now)));
        }
        // New work is refused at once; the grace period lets refusals and the drain notice reach its senders.
        if (!stopped && now.nanos() >= mayStopNanos && parts.table().isEmpty() && admission.idle()) {
            stopped = true;
            out.add(new Effect.StopProcess());
        }
    }

    private void countViolations() {
        while (violationsCounted < admission.refusalOrderViolations()) {
            violationsCounted++;
            out.count(Invariant.REFUSAL_ORDER);
        }
    }

    private NodeStatus status(Moment now) {
        PeerMessage.LoadReport load = admission.load();
        return new NodeStatus(
                load.inFlight(),
                load.limit(),
                load.queued(),
                load.cut(),
                chainCuts.currentLevels(now.nanos()),
                mayStopNanos != Long.MAX_VALUE,
                control.versions(),
                control.states(),
                holder.held(now));
    }

    @Override
    public long nextWakeNanos() {
        long policyWake = Math.min(admission.nextWakeNanos(), parts.timers().nextNanos());
        long controlWake = Math.min(control.nextWakeNanos(), holder.nextWakeNanos());
        return Math.max(lastNanos, Math.min(Math.min(policyWake, controlWake), nextStatusNanos));
    }
}
