package org.carawaysill.policy.fleet.copy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.PriorityQueue;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.carawaysill.model.identity.AttemptIdentifier;
import org.carawaysill.model.identity.OrganisationName;
import org.carawaysill.policy.fleet.mechanism.Mechanism;
import org.carawaysill.policy.fleet.schedule.ServiceWork;
import org.carawaysill.policy.message.PeerMessage.CopyRequest;
import org.junit.jupiter.api.Test;

/** What holds for each sequence of events at a gate, with one queue and with classes of work. */
class WaitingLineTest {

    private static final long MILLI = GateLoad.MILLI;
    private static final Optional<ServiceWork> MIXED = ServiceWork.of(GateLoad.SERVICE, GateLoad.routes());
    private static final long FLOOR_DIVISOR = 4;

    /** One gate, what was offered to it, and what became of that. */
    private static final class Driven {

        private final GateLoad load;
        private final CopyGate gate;
        private final Set<AttemptIdentifier> open = new HashSet<>();
        private final List<String> decisions = new ArrayList<>();
        private final Map<LocalRun, Integer> numbers = new HashMap<>();
        private int slots = 5;
        private long now;
        private boolean divided = true;

        Driven(Set<Mechanism> disabledMechanisms) {
            load = new GateLoad(1, slots, disabledMechanisms, ClassQueue.Order.LEAST_SLACK);
            gate = load.gate;
        }

        void step(int drawn) {
            int value = drawn / 16;
            now += value % 7 * 20 * MILLI;
            switch (drawn % 16) {
                case 0, 1, 2, 3, 4, 5, 6 -> offer(run(value));
                case 7, 8, 9, 10 -> finish(value);
                case 11 -> cancel(value);
                case 12 -> gate.takeOverdue(now, 15 * MILLI).forEach(run -> ended(run, "overdue"));
                case 13 -> reconfigure(value);
                case 14 -> restart(value);
                default ->
                    gate.limitRate(now, value % 3 == 0 ? OptionalDouble.of(1 + value % 40) : OptionalDouble.empty());
            }
            startNext();
            Set<AttemptIdentifier> known = new HashSet<>();
            gate.all().forEach(run -> assertTrue(known.add(run.request().attempt()), "doubled"));
            assertEquals(open, known, "lost, or kept after its end");
            assertEquals(
                    gate.all().size() - gate.load(now).inFlight(),
                    gate.load(now).queued(),
                    "waiting requests");
        }

        private LocalRun run(int value) {
            GateLoad.Kind kind = switch (value % 4) {
                case 0 -> GateLoad.LONG;
                case 1 -> GateLoad.CHAIN;
                case 2 -> GateLoad.CALL;
                default -> new GateLoad.Kind("unknown", "unknown", 1, 1, 100, 200, 400);
            };
            GateLoad.Kind ranked = new GateLoad.Kind(
                    kind.root(), kind.route(), value % 3, 1, 1, 1, 1 + value % 5 * kind.timeoutMillis() / 4);
            load.now = now;
            LocalRun run = load.run(ranked, "caller-" + value % 5, now - value % 11 * 30 * MILLI);
            return value % 6 == 0 ? new LocalRun(ofOrganisation(run.request()), Optional.empty(), now) : run;
        }

        private static CopyRequest ofOrganisation(CopyRequest request) {
            return new CopyRequest(
                    request.attempt(),
                    request.requestName(),
                    request.service(),
                    request.copy(),
                    request.callerService(),
                    Optional.of(new OrganisationName("organisation")),
                    request.rootRoute(),
                    request.rank(),
                    request.idempotent(),
                    request.depth(),
                    request.rootAgeNanos(),
                    request.remainingNanos(),
                    request.lastChoice(),
                    request.knownLimit(),
                    request.route(),
                    request.caller(),
                    request.bodyFollows(),
                    request.content());
        }

        private void offer(LocalRun run) {
            numbers.putIfAbsent(run, numbers.size());
            open.add(run.request().attempt());
            switch (gate.offer(now, run)) {
                case CopyGate.Offered.Started _ -> {
                    decisions.add("started " + numbers.get(run));
                    assertWithinLimit();
                }
                case CopyGate.Offered.Waits(Optional<LocalRun> evicted) -> {
                    decisions.add("waits " + numbers.get(run));
                    evicted.ifPresent(other -> ended(other, "evicted"));
                }
                case CopyGate.Offered.Full _ -> ended(run, "full");
                case CopyGate.Offered.OverRate _ -> ended(run, "rate");
                case CopyGate.Offered.TooLate _ -> ended(run, "late");
            }
        }

        private void ended(LocalRun run, String how) {
            assertTrue(open.remove(run.request().attempt()), "ended twice");
            decisions.add(how + ' ' + numbers.get(run));
        }

        private void assertWithinLimit() {
            assertTrue(gate.load(now).inFlight() <= gate.load(now).limit(), "more run than may");
        }

        private List<LocalRun> ordered(boolean running) {
            return gate.all().stream()
                    .filter(run -> run.isRunning() == running)
                    .sorted(Comparator.comparing(numbers::get))
                    .toList();
        }

        private void finish(int value) {
            List<LocalRun> running = ordered(true);
            if (!running.isEmpty()) {
                LocalRun run = running.get(value % running.size());
                gate.finished(now, run, CopyGate.Ending.values()[value % 3]);
                ended(run, "finished");
            }
        }

        private void cancel(int value) {
            List<LocalRun> waiting = ordered(false);
            if (!waiting.isEmpty()) {
                LocalRun run = waiting.get(value % waiting.size());
                gate.finished(now, run, CopyGate.Ending.BROKEN_OFF);
                ended(run, "cancelled");
            }
        }

        /** As the requests for the local copy do when a configuration was adopted. */
        private void reconfigure(int value) {
            divided = value % 3 != 0;
            if (gate.serves(now, divided ? MIXED : Optional.empty())) {
                gate.takeWaiting().forEach(this::offer);
            }
        }

        private void restart(int value) {
            slots = 1 + value % 9;
            gate.limit(now, slots);
            if (value % 2 == 0) {
                gate.copyRestarted(now);
            }
        }

        private void startNext() {
            int before = gate.load(now).inFlight();
            Optional<SlotDivision> division = gate.division(now);
            List<LocalRun> started = gate.startNext(now);
            started.forEach(run -> decisions.add("next " + numbers.get(run)));
            if (!started.isEmpty()) {
                assertWithinLimit();
                assertEquals(before + started.size(), gate.load(now).inFlight());
            }
            division.ifPresent(parts -> assertParts(parts, started));
        }

        private void assertParts(SlotDivision before, List<LocalRun> started) {
            long longStarted = started.stream().filter(Driven::isLong).count();
            if (longStarted > 0) {
                assertTrue(before.longRunning() + longStarted <= before.mostLong(), "long work beyond its part");
            }
            boolean isBelowFloor = before.longRunning() < Math.max(1, before.slots() / FLOOR_DIVISOR);
            boolean hasRoom = before.shortRunning() >= before.slots() - before.guaranteedLong();
            if (isBelowFloor && hasRoom && before.slots() > 1 && before.guaranteedLong() < before.slots()) {
                boolean canLongStart = before.longQueued() > hopeless();
                assertTrue(started.isEmpty() || !canLongStart || isLong(started.getFirst()), "long work starved");
            }
        }

        private long hopeless() {
            return gate.all().stream()
                    .filter(run -> !run.isRunning() && isLong(run))
                    .filter(run -> run.deadlineNanos() - now < 2000 * MILLI)
                    .count();
        }

        private static boolean isLong(LocalRun run) {
            return Set.of("long", "unknown").contains(run.request().route());
        }
    }

    @Property(tries = 400, seed = "7")
    void losesAndDoublesNothing(@ForAll @Size(max = 200) List<@IntRange(min = 0, max = 100_000) Integer> drawn) {
        Driven driven = new Driven(Set.of());
        drawn.forEach(driven::step);
    }

    /* Guards against changed decisions where the service does not do both short and long work. */
    @Property(tries = 200, seed = "8")
    void decidesTheSameWhereTheSlotsAreNotDivided(
            @ForAll @Size(max = 150) List<@IntRange(min = 0, max = 100_000) Integer> drawn) {
        Driven disabled = new Driven(EnumSet.of(Mechanism.WORK_CLASSES));
        Driven notMixed = new Driven(Set.of());
        notMixed.gate.serves(0, Optional.empty());
        for (int each : drawn) {
            disabled.step(each);
            if (each % 16 != 13) {
                notMixed.step(each);
            } else {
                notMixed.now = disabled.now;
                notMixed.startNext();
            }
        }
        assertEquals(disabled.decisions, notMixed.decisions);
    }

    /** The one queue as it was before slots were divided: without a limited rate, and with all slots in use. */
    @Property(tries = 200, seed = "9")
    void decidesAsOneQueueWhereTheSlotsAreNotDivided(
            @ForAll @Size(max = 150) List<@IntRange(min = 0, max = 100_000) Integer> drawn) {
        int slots = 3;
        int capacity = 16;
        GateLoad load = new GateLoad(1, slots, EnumSet.of(Mechanism.WORK_CLASSES, Mechanism.NEAR_FULL_LIMIT), null);
        PriorityQueue<LocalRun> queue = new PriorityQueue<>(LocalRun.OLDEST_FIRST);
        List<LocalRun> running = new ArrayList<>();
        Driven runs = new Driven(Set.of());
        for (int each : drawn) {
            if (each % 3 < 2) {
                LocalRun run = runs.run(each);
                CopyGate.Offered expected;
                if (run.deadlineNanos() <= 0) {
                    expected = new CopyGate.Offered.TooLate();
                } else if (running.size() < slots) {
                    running.add(run);
                    expected = new CopyGate.Offered.Started();
                } else if (queue.size() < capacity) {
                    queue.add(run);
                    expected = new CopyGate.Offered.Waits(Optional.empty());
                } else {
                    LocalRun worst = queue.stream().max(LocalRun.OLDEST_FIRST).orElseThrow();
                    boolean goesFirst = LocalRun.OLDEST_FIRST.compare(run, worst) < 0;
                    expected = goesFirst ? new CopyGate.Offered.Waits(Optional.of(worst)) : new CopyGate.Offered.Full();
                    if (goesFirst) {
                        queue.remove(worst);
                        queue.add(run);
                    }
                }
                assertEquals(expected, load.gate.offer(0, run));
            } else if (!running.isEmpty()) {
                LocalRun done = running.remove(each % running.size());
                load.gate.finished(0, done, CopyGate.Ending.DONE);
                List<LocalRun> expected = queue.isEmpty() ? List.of() : List.of(queue.poll());
                running.addAll(expected);
                assertEquals(expected, load.gate.startNext(0));
            }
        }
    }

    /* Guards against requests that are lost, or run twice, when a configuration divides the slots or no longer does. */
    @Test
    void keepsWhatWaitsWhenTheConfigurationChanges() {
        Driven driven = new Driven(Set.of());
        for (int i = 0; i < 12; i++) {
            driven.offer(driven.run(4 * i + i % 3 + 1000));
        }
        int before = driven.gate.all().size();
        assertTrue(driven.gate.serves(0, Optional.empty()));
        assertFalse(driven.gate.serves(0, Optional.empty()));
        assertEquals(before, driven.gate.all().size());
        assertTrue(driven.gate.serves(0, MIXED));
        driven.gate.takeWaiting().forEach(driven::offer);
        driven.step(12);
        assertEquals(before, driven.gate.all().size());
    }
}
