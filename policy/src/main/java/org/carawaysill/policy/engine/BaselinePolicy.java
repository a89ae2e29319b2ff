package org.carawaysill.policy.engine;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.carawaysill.model.configuration.Classification;
import org.carawaysill.model.identity.AttemptIdentifier;
import org.carawaysill.model.identity.CallerName;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.model.request.Importance;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.model.request.Priority;
import org.carawaysill.model.request.RefusalReason;
import org.carawaysill.model.request.RequestContent;
import org.carawaysill.model.request.RetryReason;
import org.carawaysill.model.request.Step;
import org.carawaysill.model.request.UnknownReason;
import org.carawaysill.policy.NodePolicy;
import org.carawaysill.policy.distribution.DocumentParser;
import org.carawaysill.policy.effect.Effect;
import org.carawaysill.policy.effect.NodeStatus;
import org.carawaysill.policy.event.Event;
import org.carawaysill.policy.message.PeerMessage;
import org.carawaysill.policy.message.PeerMessage.LoadReport;
import org.carawaysill.policy.message.PeerMessage.PeerRequest;
import org.carawaysill.policy.message.PeerMessage.RosterMember;
import org.carawaysill.policy.time.Moment;

/**
 * Forwards requests with a fixed number of retries at each hop, as services without overload control do. Only benchmarks
 * use it, for comparison.
 *
 * <p>Invariant: at most {@link #ATTEMPTS} attempts of one call at one hop. Not thread safe: one thread owns it.
 */
public final class BaselinePolicy implements NodePolicy {

    /** The most attempts at a call at one hop. */
    public static final int ATTEMPTS = 3;

    private static final long ATTEMPT_TIMEOUT_NANOS = Duration.ofSeconds(1).toNanos();
    private static final long STATUS_INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();
    private static final int SERVER_ERROR = 500;
    private static final CallerName CALLER = new CallerName("anonymous");
    private static final Priority PRIORITY = Priority.of(Importance.ORDINARY, CALLER);

    private final NodeIdentity identity;
    private final Outbox out;
    private final ControlPlane control;
    private final IdentifierSource identifiers;
    private final ServiceDirectory directory;
    private final Map<AttemptIdentifier, Call> calls = new HashMap<>();
    private final Map<WorkOrigin.FromPeer, AttemptIdentifier> byPeer = new HashMap<>();
    private final PriorityQueue<Timeout> timeouts = new PriorityQueue<>(Comparator.comparingLong(Timeout::dueNanos));
    private long nextStatusNanos;
    private long lastNanos;
    private boolean draining;
    private boolean stopped;

    /**
     * Creates the policy of a node that has just started.
     *
     * @param identity the identity of the node
     * @param self the node as the roster lists it
     * @param settings the settings, of which only those of configuration, membership and routing are used
     * @param parser the checks that a document must pass
     * @param random the source of identifiers and jitter
     * @param start the moment at which the process started
     */
    public BaselinePolicy(
            NodeIdentity identity,
            RosterMember self,
            PolicySettings settings,
            DocumentParser parser,
            RandomGenerator random,
            Moment start) {
        this.identity = identity;
        EngineAssembly assembly = new EngineAssembly(identity, settings, parser, random, start);
        EngineParts parts = assembly.assemble(assembly.holder(self));
        out = parts.out();
        control = parts.control();
        identifiers = parts.identifiers();
        directory = parts.directory();
        nextStatusNanos = start.nanos();
        lastNanos = start.nanos();
    }

    @Override
    public List<Effect> decide(Moment now, Event event) {
        lastNanos = now.nanos();
        if (!control.carriesWork(event)) {
            control.handle(now, event);
            control.refreshStates(now);
        }
        switch (event) {
            case Event.CallerRequest request -> fromCaller(now, request);
            case Event.CopyCall call -> fromCopy(now, call);
            case Event.CopyAnswered answered -> ended(now, answered.attempt(), answered.outcome());
            case Event.PeerReceived received -> fromPeer(now, received);
            case Event.PeerUnsent(NodeName peer, PeerRequest request) ->
                ended(now, request.attempt(), notRun(RefusalReason.PEER_UNREACHABLE));
            case Event.PeerLost lost ->
                List.copyOf(calls.values()).stream()
                        .filter(call -> call.peer.filter(lost.peer()::equals).isPresent())
                        .forEach(call -> ended(now, call.attempt, unknown(UnknownReason.PEER_LOST)));
            case Event.DrainOrdered _ -> draining = true;
            case Event.ExchangeClosed _,
                    Event.PeerUnsent _,
                    Event.PeerConnected _,
                    Event.ConfigurationRead _,
                    Event.ConfigurationUnchanged _,
                    Event.ConfigurationRefused _,
                    Event.ConfigurationReadFailed _,
                    Event.VmListRead _,
                    Event.WakeUp _ -> {}
        }
        processDue(now);
        return out.drain();
    }

    private void fromCaller(Moment now, Event.CallerRequest request) {
        Optional<Classification> classification = directory.classify(
                identity.service(),
                request.content().method(),
                request.content().path(),
                request.caller());
        WorkOrigin origin = new WorkOrigin.FromCaller(request.exchange());
        if (classification.isEmpty()) {
            deliver(origin, notRun(RefusalReason.UNKNOWN_OPERATION));
            return;
        }
        long deadline = now.nanos() + classification.get().terms().deadline().toNanos();
        attempt(now, new Call(origin, identity.service(), request.content(), true, deadline));
    }

    private void fromCopy(Moment now, Event.CopyCall call) {
        WorkOrigin origin = new WorkOrigin.FromCopy(call.exchange(), "", Optional.empty());
        attempt(now, new Call(origin, call.target(), call.content(), false, Long.MAX_VALUE));
    }

    private void fromPeer(Moment now, Event.PeerReceived received) {
        control.workReceived(now, received);
        NodeName from = received.from();
        switch (received.message()) {
            case PeerRequest request -> {
                WorkOrigin origin = new WorkOrigin.FromPeer(from, request.attempt());
                long deadline = now.nanos() + request.remainingNanos();
                attempt(now, new Call(origin, request.service(), request.content(), true, deadline));
            }
            case PeerMessage.PeerAnswer answer -> ended(now, answer.attempt(), answer.outcome());
            case PeerMessage.CancelAttempt cancel -> cancelled(from, cancel.attempt());
            case PeerMessage.DrainNotice _,
                    PeerMessage.Heartbeat _,
                    PeerMessage.LeaseRequest _,
                    PeerMessage.LeaseReply _,
                    PeerMessage.HolderHandover _,
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

    private void cancelled(NodeName from, AttemptIdentifier attempt) {
        AttemptIdentifier atCopy = byPeer.remove(new WorkOrigin.FromPeer(from, attempt));
        if (atCopy != null && calls.remove(atCopy) != null) {
            out.add(new Effect.CancelAtCopy(atCopy));
        }
    }

    private void attempt(Moment now, Call call) {
        call.attempt = identifiers.attempt();
        call.attempts++;
        if (call.local) {
            register(call, call.deadlineNanos);
            out.add(new Effect.SendToCopy(call.attempt, call.content, call.deadlineNanos));
            return;
        }
        Optional<NodeName> peer = control.choose(now, call.service, call.tried, PRIORITY)
                .or(() -> control.choose(now, call.service, Set.of(), PRIORITY));
        if (peer.isEmpty()) {
            deliver(call.origin, notRun(RefusalReason.NO_COPY));
            return;
        }
        call.peer = peer;
        call.tried.add(peer.get());
        register(call, now.nanos() + ATTEMPT_TIMEOUT_NANOS);
        out.add(new Effect.SendToPeer(peer.get(), request(call)));
    }

    private void register(Call call, long dueNanos) {
        calls.put(call.attempt, call);
        timeouts.add(new Timeout(dueNanos, call.attempt));
        if (call.origin instanceof WorkOrigin.FromPeer peer) {
            byPeer.put(peer, call.attempt);
        }
    }

    private PeerRequest request(Call call) {
        return new PeerRequest(
                call.attempt,
                identifiers.request(),
                call.service,
                "",
                CALLER,
                PRIORITY,
                true,
                Optional.empty(),
                0,
                ATTEMPT_TIMEOUT_NANOS,
                1,
                PeerMessage.Purpose.RUN,
                call.content);
    }

    private void ended(Moment now, AttemptIdentifier attempt, Outcome outcome) {
        Call call = calls.remove(attempt);
        if (call == null) {
            return;
        }
        if (call.origin instanceof WorkOrigin.FromPeer peer) {
            byPeer.remove(peer);
        }
        if (!call.local && call.attempts < ATTEMPTS && failed(outcome)) {
            out.count(RetryReason.COPY_ERROR);
            attempt(now, call);
        } else {
            deliver(call.origin, outcome);
        }
    }

    private static boolean failed(Outcome outcome) {
        return switch (outcome) {
            case Outcome.Answered answered -> answered.content().status() >= SERVER_ERROR;
            case Outcome.NotRun _, Outcome.Unknown _ -> true;
        };
    }

    private void deliver(WorkOrigin origin, Outcome outcome) {
        switch (origin) {
            case WorkOrigin.FromCaller caller -> out.add(new Effect.AnswerExchange(caller.exchange(), outcome));
            case WorkOrigin.FromCopy copy -> out.add(new Effect.AnswerExchange(copy.exchange(), outcome));
            case WorkOrigin.FromPeer peer ->
                out.add(new Effect.SendToPeer(
                        peer.peer(),
                        new PeerMessage.PeerAnswer(peer.attempt(), outcome, 0, new LoadReport(0, 1, 0, 0), List.of())));
        }
    }

    private void processDue(Moment now) {
        while (!timeouts.isEmpty() && timeouts.peek().dueNanos() <= now.nanos()) {
            Optional.ofNullable(calls.get(timeouts.remove().attempt())).ifPresent(call -> timeOut(now, call));
        }
        if (now.nanos() >= nextStatusNanos) {
            nextStatusNanos = now.nanos() + STATUS_INTERVAL_NANOS;
            out.add(new Effect.PublishStatus(new NodeStatus(
                    calls.size(),
                    Integer.MAX_VALUE,
                    0,
                    0,
                    Map.of(),
                    draining,
                    control.versions(),
                    control.states(),
                    false)));
        }
        if (draining && !stopped && calls.isEmpty()) {
            stopped = true;
            out.add(new Effect.StopProcess());
        }
    }

    private void timeOut(Moment now, Call call) {
        call.peer.ifPresentOrElse(
                peer -> out.add(new Effect.SendToPeer(peer, new PeerMessage.CancelAttempt(call.attempt))),
                () -> out.add(new Effect.CancelAtCopy(call.attempt)));
        ended(now, call.attempt, unknown(UnknownReason.DEADLINE));
    }

    @Override
    public long nextWakeNanos() {
        long due = timeouts.isEmpty() ? Long.MAX_VALUE : timeouts.peek().dueNanos();
        return Math.max(lastNanos, Math.min(Math.min(due, nextStatusNanos), control.nextWakeNanos()));
    }

    private static Outcome notRun(RefusalReason reason) {
        return new Outcome.NotRun(reason, Duration.ofSeconds(1), Step.ROUTING, Optional.empty());
    }

    private static Outcome unknown(UnknownReason reason) {
        return new Outcome.Unknown(reason, Step.PEER_WAIT, Optional.empty());
    }

    private record Timeout(long dueNanos, AttemptIdentifier attempt) {}

    /** A call at this hop; mutable, owned by the policy. */
    private static final class Call {
        private final WorkOrigin origin;
        private final ServiceName service;
        private final RequestContent content;
        private final boolean local;
        private final long deadlineNanos;
        private final Set<NodeName> tried = new HashSet<>();
        private Optional<NodeName> peer = Optional.empty();
        private AttemptIdentifier attempt = new AttemptIdentifier(0, 0);
        private int attempts;

        Call(WorkOrigin origin, ServiceName service, RequestContent content, boolean local, long deadlineNanos) {
            this.origin = origin;
            this.service = service;
            this.content = content;
            this.local = local;
            this.deadlineNanos = deadlineNanos;
        }
    }
}
