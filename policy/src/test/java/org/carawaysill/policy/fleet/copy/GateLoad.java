package org.carawaysill.policy.fleet.copy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.carawaysill.model.fleet.CopyName;
import org.carawaysill.model.fleet.Destination;
import org.carawaysill.model.fleet.RequestKind;
import org.carawaysill.model.fleet.Route;
import org.carawaysill.model.identity.AttemptIdentifier;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.model.request.Body;
import org.carawaysill.model.request.RequestContent;
import org.carawaysill.policy.fleet.mechanism.Mechanism;
import org.carawaysill.policy.fleet.schedule.ServiceWork;
import org.carawaysill.policy.message.PeerMessage.CopyRequest;

/**
 * Plays load on one gate and a copy behind it, in virtual time, with random numbers of its own.
 *
 * <p>A request is one call or several in a row; it is in aim if its last call ends within the target latency. Not
 * thread safe.
 */
final class GateLoad {

    static final long MILLI = Duration.ofMillis(1).toNanos();
    static final long SECOND = 1000 * MILLI;

    /** As before its deadline a waiting request is refused, and as after it a run is given up. */
    private static final long MARGIN = 15 * MILLI;

    private static final long OVERDUE = 200 * MILLI;

    static final ServiceName SERVICE = new ServiceName("mixed");

    /** A kind of request: its calls in a row, and what its callers need. */
    record Kind(String root, String route, int rank, int calls, long runMillis, long aimMillis, long timeoutMillis) {}

    static final Kind CALL = new Kind("single", "single", 2, 1, 50, 300, 700);
    static final Kind CHAIN = new Kind("chain", "call", 2, 4, 50, 1500, 700);
    static final Kind LONG = new Kind("long", "long", 2, 1, 700, 2500, 5000);

    /** What became of the requests of one kind and caller that began in one second. */
    static final class Tally {

        int asked;
        int served;
        int inAim;
    }

    private record Event(long at, long number, Runnable action) {}

    private record Key(String name, int second) {}

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::number));
    private final Map<LocalRun, Runnable> whenDone = new IdentityHashMap<>();
    private final Map<Key, Tally> tallies = new HashMap<>();
    private final SplittableRandom random;
    private final int slots;
    private double speed = 1;
    final CopyGate gate;
    final Map<String, Integer> refusals = new TreeMap<>();
    long now;
    private long numbers;

    GateLoad(long seed, int slots, Set<Mechanism> disabledMechanisms, ClassQueue.Order order) {
        random = new SplittableRandom(seed);
        this.slots = slots;
        gate = new CopyGate(disabledMechanisms, Long.MAX_VALUE);
        gate.limit(0, slots);
        gate.serves(0, ServiceWork.of(SERVICE, routes()), order);
    }

    /** Returns the routes of all kinds: those of calls, and the one that a chain begins with, of another service. */
    static List<Route> routes() {
        return List.of(
                route("single", SERVICE, 300, 700),
                route("call", SERVICE, 300, 700),
                route("chain", new ServiceName("front"), 1500, 3000),
                route("long", SERVICE, 2500, 5000));
    }

    static Route route(String name, ServiceName service, long aimMillis, long timeoutMillis) {
        return new Route(
                name,
                "host",
                '/' + name + '/',
                List.of(new Destination(service, 1)),
                RequestKind.READ,
                Duration.ofMillis(timeoutMillis),
                2,
                Duration.ofMillis(aimMillis),
                2,
                false);
    }

    void at(double second, Runnable action) {
        events.add(new Event((long) (second * SECOND), ++numbers, action));
    }

    /** Schedules requests of a kind at random times, so many that they would hold a number of slots on average. */
    void offer(Kind kind, String caller, double slotsHeld, double from, double until) {
        double perSecond = slotsHeld * 1000 / kind.runMillis() / kind.calls();
        double at = from;
        while (true) {
            at += -Math.log(1 - random.nextDouble()) / perSecond;
            if (at >= until) {
                return;
            }
            at(at, () -> begin(kind, caller));
        }
    }

    private void begin(Kind kind, String caller) {
        Tally tally = tallies.computeIfAbsent(new Key(kind.root(), (int) (now / SECOND)), _ -> new Tally());
        Tally ofCaller = tallies.computeIfAbsent(new Key(caller, (int) (now / SECOND)), _ -> new Tally());
        tally.asked++;
        ofCaller.asked++;
        call(kind, caller, now, kind.calls(), List.of(tally, ofCaller));
    }

    private void call(Kind kind, String caller, long began, int callsLeft, List<Tally> counted) {
        LocalRun run = run(kind, caller, began);
        whenDone.put(run, () -> {
            if (now > run.deadlineNanos()) {
                return;
            }
            if (callsLeft > 1) {
                call(kind, caller, began, callsLeft - 1, counted);
                return;
            }
            counted.forEach(tally -> {
                tally.served++;
                tally.inAim += now - began <= kind.aimMillis() * MILLI ? 1 : 0;
            });
        });
        switch (gate.offer(now, run)) {
            case CopyGate.Offered.Started _ -> started(kind, run);
            case CopyGate.Offered.Waits(Optional<LocalRun> evicted) -> evicted.ifPresent(it -> refused(it, "evicted"));
            case CopyGate.Offered.Full _ -> refused(run, "full");
            case CopyGate.Offered.OverRate _ -> refused(run, "rate");
            case CopyGate.Offered.TooLate _ -> refused(run, "late");
        }
    }

    LocalRun run(Kind kind, String caller, long began) {
        CopyRequest request = new CopyRequest(
                new AttemptIdentifier(0, ++numbers),
                "request-" + numbers,
                SERVICE,
                new CopyName("copy"),
                new ServiceName("entry"),
                Optional.empty(),
                kind.root(),
                kind.rank(),
                true,
                kind.calls() > 1 ? 1 : 0,
                now - began,
                kind.timeoutMillis() * MILLI,
                true,
                OptionalDouble.empty(),
                kind.route(),
                new NodeName(caller),
                false,
                new RequestContent("GET", "/", List.of(), Body.EMPTY));
        return new LocalRun(request, Optional.empty(), now);
    }

    private void refused(LocalRun run, String reason) {
        whenDone.remove(run);
        refusals.merge(run.request().route() + ' ' + reason, 1, Integer::sum);
    }

    private void started(Kind kind, LocalRun run) {
        double spread = 0.5;
        double drawn = Math.exp(spread * random.nextGaussian() - spread * spread / 2);
        long ends = now + (long) (drawn * kind.runMillis() * MILLI / speed);
        long givenUp = run.deadlineNanos() + OVERDUE;
        events.add(new Event(Math.min(ends, givenUp), ++numbers, () -> {
            if (gate.find(run.request().attempt()).isPresent()) {
                gate.finished(now, run, ends <= givenUp ? CopyGate.Ending.DONE : CopyGate.Ending.BROKEN_OFF);
                whenDone.remove(run).run();
            }
        }));
    }

    private static Kind kindOf(LocalRun run) {
        return switch (run.request().route()) {
            case "long" -> LONG;
            case "call" -> CHAIN;
            default -> CALL;
        };
    }

    /** Makes the copy a new process, at another speed: what ran is lost, what waits stays. */
    void restart(double newSpeed) {
        speed = newSpeed;
        gate.copyRestarted(now);
        gate.all().stream().filter(LocalRun::isRunning).toList().forEach(run -> {
            gate.finished(now, run, CopyGate.Ending.BROKEN_OFF);
            whenDone.remove(run);
        });
    }

    void play(double seconds) {
        while (!events.isEmpty() && events.peek().at() <= seconds * SECOND) {
            Event event = events.poll();
            now = event.at();
            event.action().run();
            gate.takeOverdue(now, MARGIN).forEach(run -> refused(run, "overdue"));
            gate.startNext(now).forEach(run -> started(kindOf(run), run));
            if (gate.load(now).inFlight() > slots) {
                throw new AssertionError("more run than the copy has slots");
            }
        }
    }

    /** Returns whether each request that was offered has ended, at the gate and for its caller. */
    boolean isOver() {
        return gate.isEmpty() && whenDone.isEmpty();
    }

    private List<Tally> tallies(String name, int from, int until) {
        List<Tally> found = new ArrayList<>();
        for (int second = from; second < until; second++) {
            found.add(tallies.getOrDefault(new Key(name, second), new Tally()));
        }
        return found;
    }

    /** Returns the share in aim of the requests of a kind, or of a caller, that began in a span of seconds. */
    double inAim(String name, int from, int until) {
        List<Tally> found = tallies(name, from, until);
        return found.stream().mapToInt(tally -> tally.inAim).sum()
                / (double) found.stream().mapToInt(tally -> tally.asked).sum();
    }

    /** Returns the share served of the requests of a kind, or of a caller, that began in a span of seconds. */
    double served(String name, int from, int until) {
        List<Tally> found = tallies(name, from, until);
        return found.stream().mapToInt(tally -> tally.served).sum()
                / (double) found.stream().mapToInt(tally -> tally.asked).sum();
    }
}
