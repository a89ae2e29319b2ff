package org.carawaysill.policy.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.carawaysill.model.identity.AttemptIdentifier;
import org.carawaysill.model.request.Importance;
import org.carawaysill.model.request.Priority;
import org.carawaysill.model.request.RefusalReason;
import org.carawaysill.policy.admission.Verdict.CancelRunning;
import org.carawaysill.policy.admission.Verdict.Refuse;
import org.carawaysill.policy.admission.Verdict.Start;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class CopyAdmissionTest {

    private static final long MILLI = 1_000_000L;

    /** Has one slot and a queue of two. */
    private final CopyAdmission admission = new CopyAdmission(new AdmissionSettings(1, true), 1);

    private long now;
    private long attempts;

    private Candidate candidate(Importance importance, int depth, long millisLeft) {
        Priority priority = new Priority(importance.ordinal() * Priority.LEVELS_PER_IMPORTANCE);
        AttemptIdentifier attempt = new AttemptIdentifier(0, ++attempts);
        return new Candidate(attempt, "lookup", priority, true, depth, now, now + millisLeft * MILLI);
    }

    private Candidate offer(Importance importance) {
        Candidate candidate = candidate(importance, 0, 2_000);
        admission.offer(now, candidate);
        return candidate;
    }

    private List<Verdict> finish(Candidate running, long millis) {
        now += millis * MILLI;
        return admission.finished(now, running.attempt(), Finish.ANSWERED);
    }

    private void learnUsualTime(long millis) {
        for (int i = 0; i < 20; i++) {
            finish(offer(Importance.ORDINARY), millis);
        }
    }

    @Nested
    class Queue {

        @Test
        void startsTheMostImportantThenTheDeepestFirst() {
            Candidate running = offer(Importance.ORDINARY);
            Candidate shallow = candidate(Importance.IMPORTANT, 0, 2_000);
            Candidate deep = candidate(Importance.IMPORTANT, 2, 2_000);
            admission.offer(now, shallow);
            admission.offer(now, deep);
            assertEquals(List.of(new Start(deep.attempt())), finish(running, 10));
            assertEquals(List.of(new Start(shallow.attempt())), finish(deep, 10));
        }

        @Test
        void evictsTheLeastImportantInsteadOfTheNewcomer() {
            offer(Importance.CRITICAL);
            Candidate background = offer(Importance.BACKGROUND);
            offer(Importance.ORDINARY);
            List<Verdict> verdicts = admission.offer(now, candidate(Importance.IMPORTANT, 0, 2_000));
            Refuse refuse = assertInstanceOf(Refuse.class, verdicts.getFirst());
            assertEquals(background.attempt(), refuse.attempt());
            assertEquals(RefusalReason.EVICTED, refuse.reason());
        }

        @Test
        void rejectsAnAttemptThatIsKnown() {
            Candidate running = offer(Importance.ORDINARY);
            assertThrows(IllegalArgumentException.class, () -> admission.offer(now, running));
        }
    }

    /**
     * Guards against refusing a critical request because the queue is full of critical ones while an unimportant idempotent
     * request, which could be repeated instead, holds a slot.
     */
    @Nested
    class Cancelling {

        @Test
        void cancelsUnimportantWorkForACriticalRequestThatWouldBeRefused() {
            Candidate report = offer(Importance.BACKGROUND);
            offer(Importance.CRITICAL);
            offer(Importance.CRITICAL);
            List<Verdict> verdicts = admission.offer(now, candidate(Importance.CRITICAL, 0, 2_000));
            assertEquals(
                    report.attempt(),
                    assertInstanceOf(CancelRunning.class, verdicts.getFirst()).attempt());
            assertInstanceOf(Start.class, verdicts.getLast());
        }

        @Test
        void cancelsBeforeACriticalRequestHasWaitedTooLong() {
            finish(offer(Importance.CRITICAL), 100);
            Candidate report = offer(Importance.BACKGROUND);
            Candidate posting = offer(Importance.CRITICAL);
            now = posting.deadlineNanos() - 150 * MILLI;
            List<Verdict> verdicts = admission.wakeUp(now);
            assertEquals(
                    report.attempt(),
                    assertInstanceOf(CancelRunning.class, verdicts.getFirst()).attempt());
            assertEquals(new Start(posting.attempt()), verdicts.getLast());
        }
    }

    @Nested
    class Deadlines {

        @Test
        void refusesAtOnceWhatTheUsualTimeRulesOut() {
            learnUsualTime(100);
            Refuse refuse = assertInstanceOf(
                    Refuse.class,
                    admission.offer(now, candidate(Importance.CRITICAL, 0, 50)).getFirst());
            assertEquals(RefusalReason.DEADLINE, refuse.reason());
        }

        /**
         * Guards against refusals that outlast their cause: a copy is slow for a while, every request would miss its
         * deadline, so none runs, and no measurement shows that the copy is fast again.
         */
        @Test
        void triesAgainAfterASlowSpell() {
            learnUsualTime(800);
            now += 2_500 * MILLI;
            assertInstanceOf(
                    Start.class,
                    admission.offer(now, candidate(Importance.CRITICAL, 0, 100)).getFirst());
        }

        /**
         * Guards against attributing a pause of the node to its copy: the node is paused for ten seconds while the copy
         * answers, the requests seem to have taken ten seconds each, and every new one would be refused as too late.
         */
        @Test
        void doesNotTakeItsOwnPauseForASlowCopy() {
            CopyAdmission wide = new CopyAdmission(AdmissionSettings.DEFAULTS, 20);
            List<Candidate> running = new ArrayList<>();
            for (int i = 0; i < 20; i++) {
                running.add(candidate(Importance.ORDINARY, 0, 2_000));
                wide.offer(now, running.getLast());
            }
            now += 10_000 * MILLI;
            running.forEach(request -> wide.finished(now, request.attempt(), Finish.ANSWERED));
            assertInstanceOf(
                    Start.class,
                    wide.offer(now, candidate(Importance.ORDINARY, 0, 2_000)).getFirst());
        }
    }

    @Nested
    class Advice {

        @Test
        void spreadsThoseRefusedTogetherAndGrowsWithTheirNumber() {
            learnUsualTime(100);
            List<Long> advices = new ArrayList<>();
            for (int i = 0; i < 63; i++) {
                for (Verdict verdict : admission.offer(now, candidate(Importance.ORDINARY, 0, 2_000))) {
                    if (verdict instanceof Refuse refuse) {
                        advices.add(refuse.retryAfter().toMillis());
                    }
                }
            }
            assertEquals(60, advices.size());
            assertTrue(advices.stream().distinct().count() > 50);
            assertTrue(advices.getFirst() < 1_000, "the first can come back soon");
            assertTrue(advices.getLast() > 2_000, "ten a second are answered, and sixty were refused before");
        }
    }
}
