package org.carawaysill.soak;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.carawaysill.model.identity.AvailabilityZone;
import org.carawaysill.model.identity.ExchangeIdentifier;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.model.request.Invariant;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.policy.NodePolicy;
import org.carawaysill.policy.effect.Effect;
import org.carawaysill.policy.effect.NodeStatus;
import org.carawaysill.policy.engine.NodeIdentity;
import org.carawaysill.policy.engine.OverloadPolicy;
import org.carawaysill.policy.engine.PolicySettings;
import org.carawaysill.policy.event.Event;
import org.carawaysill.policy.message.PeerMessage;
import org.carawaysill.policy.message.PeerMessage.RosterMember;
import org.carawaysill.policy.time.Moment;

/**
 * A node that runs the real policy with simulated clocks and adapters, in a process that can be paused, killed and
 * started again.
 *
 * <p>Invariant: no event reaches a process that started after the event was sent. Not thread safe: one schedule owns
 * it.
 */
final class SimulatedNode {

    private static final long EPOCH_MILLIS = 1_790_000_000_000L;
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long STOP_LIMIT_NANOS = 20_000_000_000L;
    private static final long STOP_CHECK_NANOS = 20_000_000L;
    private static final long MINIMUM_WAKE_DELAY_NANOS = 100_000L;

    private final NodeName name;
    private final Schedule schedule;
    private final RandomGenerator random;
    private final SimulatedCopy copy;
    private final Map<ExchangeIdentifier, Consumer<Optional<Outcome>>> exchanges = new HashMap<>();
    private final Map<ServiceName, Long> versions = new HashMap<>();
    private final Deque<Runnable> backlog = new ArrayDeque<>();
    private Optional<NodePolicy> policy = Optional.empty();
    private boolean runningBacklog;
    private String status = "";
    private long incarnation;
    private long monotonicOrigin;
    private long skewMillis;
    private long pausedUntil;
    private long wakeAt = Long.MAX_VALUE;
    private long drainedAt = Long.MAX_VALUE;

    SimulatedNode(NodeName name, Schedule schedule, RandomGenerator random) {
        this.name = name;
        this.schedule = schedule;
        this.random = random;
        this.copy = new SimulatedCopy(this, schedule, random);
    }

    NodeName name() {
        return name;
    }

    long incarnation() {
        return incarnation;
    }

    boolean alive() {
        return policy.isPresent();
    }

    /** Returns a description of the node for the journal. */
    String describe() {
        return name + " with " + exchanges.size() + " exchanges, " + copy.running() + " runs, " + status;
    }

    boolean draining() {
        return drainedAt != Long.MAX_VALUE;
    }

    Map<ServiceName, Long> versions() {
        return versions;
    }

    void start() {
        skewMillis = random.nextLong(-20, 21);
        monotonicOrigin = random.nextLong(1L << 40);
        Moment now = moment();
        incarnation = Math.max(incarnation + 1, now.epochMillis());
        NodeIdentity identity = new NodeIdentity(
                name, Topology.serviceOf(name), new AvailabilityZone(Topology.zoneOf(name)), incarnation);
        RosterMember self = new RosterMember(name, "127.0.0.1", Topology.portOf(name));
        policy = Optional.of(new OverloadPolicy(
                identity,
                self,
                PolicySettings.DEFAULTS,
                schedule.documentParser(),
                new SplittableRandom(random.nextLong()),
                now));
        pausedUntil = 0;
        drainedAt = Long.MAX_VALUE;
        versions.clear();
        schedule.platform().addVm(name);
        deliver(incarnation, new Event.WakeUp());
    }

    void kill() {
        schedule.journal().note(schedule.now(), name + " ends");
        policy = Optional.empty();
        wakeAt = Long.MAX_VALUE;
        schedule.network().processEnded(name);
        List<Consumer<Optional<Outcome>>> waiting = List.copyOf(exchanges.values());
        exchanges.clear();
        waiting.forEach(waiter -> waiter.accept(Optional.empty()));
    }

    void pause(long nanos) {
        schedule.journal().note(schedule.now(), name + " is paused");
        // A second pause must not shorten the first: later events would overtake those that wait for its end.
        pausedUntil = Math.max(pausedUntil, schedule.now() + nanos);
    }

    void drain() {
        schedule.journal().note(schedule.now(), name + " drains");
        drainedAt = schedule.now();
        deliver(incarnation, new Event.DrainOrdered());
    }

    /** Opens an exchange and passes its outcome to the waiter, or empty if the process ends before it answers. */
    void open(ExchangeIdentifier exchange, Consumer<Optional<Outcome>> waiter, Event request) {
        if (!alive()) {
            waiter.accept(Optional.empty());
            return;
        }
        exchanges.put(exchange, waiter);
        deliver(incarnation, request);
    }

    void close(ExchangeIdentifier exchange) {
        if (exchanges.remove(exchange) != null) {
            deliver(incarnation, new Event.ExchangeClosed(exchange));
        }
    }

    /** Delivers an event; a paused process handles its events in order when the pause ends. */
    void deliver(long toIncarnation, Event event) {
        backlog.addLast(() -> {
            if (alive() && toIncarnation == incarnation) {
                decide(event);
            }
        });
        runBacklog();
    }

    private void runBacklog() {
        if (runningBacklog) {
            return;
        }
        runningBacklog = true;
        while (!backlog.isEmpty() && schedule.now() >= pausedUntil) {
            backlog.removeFirst().run();
        }
        runningBacklog = false;
        if (!backlog.isEmpty()) {
            schedule.eventQueue().at(pausedUntil, this::runBacklog);
        }
    }

    /** Puts the effects of a decision before all later events; a pause may occur between any two effects. */
    private void decide(Event event) {
        long decidingIncarnation = incarnation;
        List<Effect> effects = policy.orElseThrow().decide(moment(), event);
        for (Effect effect : effects.reversed()) {
            backlog.addFirst(() -> execute(decidingIncarnation, effect));
        }
        scheduleWake();
    }

    private void scheduleWake() {
        long due = policy.orElseThrow().nextWakeNanos();
        if (due == Long.MAX_VALUE) {
            return;
        }
        long at = Math.max(due - monotonicOrigin, schedule.now() + MINIMUM_WAKE_DELAY_NANOS);
        if (at >= wakeAt) {
            return;
        }
        wakeAt = at;
        long wokenIncarnation = incarnation;
        schedule.eventQueue().at(at, () -> {
            if (wakeAt == at && wokenIncarnation == incarnation) {
                wakeAt = Long.MAX_VALUE;
                deliver(wokenIncarnation, new Event.WakeUp());
            }
        });
    }

    private void execute(long decidingIncarnation, Effect effect) {
        if (!alive() || decidingIncarnation != incarnation) {
            return;
        }
        if (random.nextDouble() < schedule.pauseRate()) {
            pause(random.nextLong(schedule.maximumPauseNanos()));
        }
        switch (effect) {
            case Effect.SendToCopy hand -> copy.run(hand, moment().nanos());
            case Effect.CancelAtCopy cancel -> copy.cancel(cancel.attempt());
            case Effect.AnswerExchange answer -> answer(answer);
            case Effect.SendToPeer send -> send(send);
            case Effect.ConnectPeer connect -> schedule.network().connect(name, connect.peer());
            case Effect.DisconnectPeer disconnect -> schedule.network().disconnect(name, disconnect.peer());
            case Effect.ReadConfiguration read -> schedule.platform().read(this, read);
            case Effect.ReadVmList read -> schedule.platform().readVmList(this);
            case Effect.Count(Invariant invariant) ->
                schedule.journal().breach(schedule.now(), invariant, "counted by " + name);
            case Effect.Count count -> {}
            case Effect.LogChange change -> {}
            case Effect.PublishStatus published -> checkVersions(published.status());
            case Effect.StopProcess stop -> stop();
        }
    }

    private void send(Effect.SendToPeer send) {
        if (send.message() instanceof PeerMessage.PeerRequest request) {
            schedule.journal()
                    .note(
                            schedule.now(),
                            name + " sends " + request.purpose() + " " + request.attempt() + " of "
                                    + request.content()
                                            .header(Clients.KEY_HEADER)
                                            .orElse("") + " to " + send.peer());
        }
        schedule.network().send(this, send.peer(), send.message());
    }

    private void answer(Effect.AnswerExchange answer) {
        Consumer<Optional<Outcome>> waiter = exchanges.remove(answer.exchange());
        if (waiter != null) {
            waiter.accept(Optional.of(answer.outcome()));
        }
    }

    private void checkVersions(NodeStatus published) {
        status = published.toString();
        published.versions().forEach((service, version) -> {
            long before = versions.getOrDefault(service, 0L);
            if (version < before) {
                schedule.journal()
                        .breach(
                                schedule.now(),
                                Invariant.VERSION_NEVER_FALLS,
                                name + " fell from " + before + " to " + version + " of " + service);
            }
            versions.put(service, version);
        });
    }

    /** Ends the process once the requests that arrived while the policy decided to stop are answered too. */
    private void stop() {
        if (copy.busy() || schedule.now() - drainedAt > STOP_LIMIT_NANOS) {
            schedule.journal()
                    .breach(schedule.now(), Invariant.GRACEFUL_STOP, name + " stopped with requests in flight");
        } else if (!exchanges.isEmpty()) {
            long stopping = incarnation;
            schedule.eventQueue().in(STOP_CHECK_NANOS, () -> execute(stopping, new Effect.StopProcess()));
            return;
        }
        kill();
    }

    /**
     * Returns whether the node has been draining for longer than the grace period. New work after it is a breach;
     * requests accepted before may finish.
     */
    boolean drainingLongerThan(long graceNanos) {
        return draining() && schedule.now() - drainedAt > graceNanos;
    }

    private Moment moment() {
        long now = schedule.now();
        return new Moment(now + monotonicOrigin, EPOCH_MILLIS + now / NANOS_PER_MILLI + skewMillis);
    }

    static long wallMillis(long now) {
        return EPOCH_MILLIS + now / NANOS_PER_MILLI;
    }
}
