package org.carawaysill.policy.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.carawaysill.model.identity.AttemptIdentifier;
import org.carawaysill.model.request.Importance;
import org.carawaysill.model.request.Priority;
import org.carawaysill.model.request.RefusalReason;
import org.carawaysill.policy.admission.Verdict.CancelRunning;
import org.carawaysill.policy.admission.Verdict.Refuse;
import org.carawaysill.policy.admission.Verdict.Start;

/** Checks the invariants in random sequences of offers, ends, withdrawals, slot changes, wake-ups and pauses. */
class CopyAdmissionInterleavingsTest {

    private static final long MILLI = 1_000_000L;
    private static final int STEPS = 400;

    @Property(seed = "1", tries = 300)
    void everyRequestGetsOneVerdictAndTheOrderOfRefusalHolds(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 12) int slots) {
        new Interleaving(seed, slots).run();
    }

    @Property(seed = "2", tries = 100)
    void theCutFallsInSilence(@ForAll long seed) {
        Interleaving interleaving = new Interleaving(seed, 2);
        interleaving.run();
        interleaving.silence();
    }

    /** Applies random events to one copy's admission control, and checks the invariants after each step. */
    private static final class Interleaving {
        private final Random random;
        private final CopyAdmission admission;
        private final Map<AttemptIdentifier, Candidate> waiting = new HashMap<>();
        private final Map<AttemptIdentifier, Candidate> running = new HashMap<>();
        private final Set<AttemptIdentifier> over = new HashSet<>();
        private int slots;
        private int attempts;
        private long now = 1_000_000 * MILLI;

        Interleaving(long seed, int slots) {
            random = new Random(seed);
            this.slots = slots;
            admission = new CopyAdmission(new AdmissionSettings(1, random.nextBoolean()), slots);
        }

        void run() {
            for (int step = 0; step < STEPS; step++) {
                now += random.nextInt(100) == 0 ? 20_000 * MILLI : random.nextInt(8) * MILLI;
                step();
                assertEquals(waiting.size(), admission.load().queued());
                assertEquals(running.size(), admission.load().inFlight());
                assertEquals(0, admission.refusalOrderViolations());
                assertTrue(admission.load().limit() >= 1 && admission.load().limit() <= slots);
            }
        }

        private void step() {
            switch (random.nextInt(12)) {
                case 0 -> wakeUp();
                case 1, 2, 3 -> pick(running).ifPresent(attempt -> end(attempt, Finish.ANSWERED));
                case 4 -> pick(running).ifPresent(attempt -> end(attempt, Finish.FAILED));
                case 5 -> pick(running).ifPresent(attempt -> end(attempt, Finish.LOST));
                case 6 -> pick(random.nextBoolean() ? running : waiting).ifPresent(this::withdraw);
                case 7 -> slots(1 + random.nextInt(12));
                default -> offer();
            }
        }

        private void slots(int published) {
            slots = published;
            admission.slots(published);
        }

        private void offer() {
            int spread = random.nextBoolean() ? Priority.MAXIMUM + 1 : 4;
            Candidate candidate = new Candidate(
                    new AttemptIdentifier(random.nextInt(3), ++attempts),
                    "operation " + random.nextInt(2),
                    new Priority(random.nextInt(spread)),
                    random.nextBoolean(),
                    random.nextInt(3),
                    now,
                    now + random.nextInt(400) * MILLI);
            waiting.put(candidate.attempt(), candidate);
            apply(admission.offer(now, candidate));
        }

        private void end(AttemptIdentifier attempt, Finish finish) {
            running.remove(attempt);
            over.add(attempt);
            apply(admission.finished(now, attempt, finish));
        }

        private void withdraw(AttemptIdentifier attempt) {
            running.remove(attempt);
            waiting.remove(attempt);
            over.add(attempt);
            apply(admission.withdraw(now, attempt));
        }

        private void wakeUp() {
            apply(admission.wakeUp(now));
            waiting.values().forEach(candidate -> assertTrue(candidate.deadlineNanos() > now, "waits too long"));
            assertTrue(admission.nextWakeNanos() > now);
        }

        private void apply(List<Verdict> verdicts) {
            List<Candidate> refusedForRoom = new ArrayList<>();
            for (Verdict verdict : verdicts) {
                switch (verdict) {
                    case Start start -> start(start.attempt());
                    case Refuse refuse -> {
                        Candidate refused = waiting.remove(refuse.attempt());
                        finish(refused);
                        assertTrue(refuse.retryAfter().toMillis() >= 50
                                && refuse.retryAfter().toMillis() <= 10_000);
                        if (refuse.reason() != RefusalReason.DEADLINE) {
                            refusedForRoom.add(refused);
                        }
                    }
                    case CancelRunning cancel -> cancel(running.remove(cancel.attempt()));
                }
            }
            int least = waiting.values().stream()
                    .mapToInt(candidate -> candidate.priority().level())
                    .min()
                    .orElse(Integer.MAX_VALUE);
            refusedForRoom.forEach(refused -> assertTrue(refused.priority().level() <= least, "refusal order"));
        }

        private void start(AttemptIdentifier attempt) {
            Candidate candidate = waiting.remove(attempt);
            assertNotEquals(null, candidate);
            assertTrue(candidate.deadlineNanos() > now, "started too late");
            running.put(attempt, candidate);
            assertTrue(running.size() <= admission.load().limit(), "started beyond the limit");
        }

        private void cancel(Candidate candidate) {
            finish(candidate);
            assertTrue(candidate.idempotent());
            assertTrue(candidate.priority().importance().compareTo(Importance.IMPORTANT) < 0);
        }

        private void finish(Candidate candidate) {
            assertNotEquals(null, candidate);
            assertTrue(over.add(candidate.attempt()), "second verdict");
        }

        private Optional<AttemptIdentifier> pick(Map<AttemptIdentifier, Candidate> from) {
            return from.keySet().stream()
                    .sorted(Comparator.comparingLong(AttemptIdentifier::low))
                    .skip(from.isEmpty() ? 0 : random.nextInt(from.size()))
                    .findFirst();
        }

        /** Ends all running requests without new arrivals; wakes the admission control only when it asked for it. */
        void silence() {
            while (!running.isEmpty()) {
                List.copyOf(running.keySet()).forEach(attempt -> end(attempt, Finish.ANSWERED));
            }
            long end = now + 1_000 * MILLI;
            int cut = admission.cut();
            while (admission.nextWakeNanos() <= end) {
                now = admission.nextWakeNanos();
                wakeUp();
                assertTrue(admission.cut() <= cut + 1, "the cut rises in silence");
                cut = Math.min(cut, admission.cut());
            }
            assertEquals(0, admission.cut());
        }
    }
}
