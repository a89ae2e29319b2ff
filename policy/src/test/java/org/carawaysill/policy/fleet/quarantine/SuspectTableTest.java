package org.carawaysill.policy.fleet.quarantine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.model.request.Fingerprint;
import org.carawaysill.policy.message.Suspicion;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class SuspectTableTest {

    private static final ServiceName SERVICE = new ServiceName("bills");
    private static final Fingerprint CAUSE = new Fingerprint(1, 1);
    private static final Fingerprint OTHER = new Fingerprint(2, 2);
    private static final long SECOND = Duration.ofSeconds(1).toNanos();

    private final SuspectTable table = new SuspectTable();

    private void crash(long start, Fingerprint... requests) {
        for (Fingerprint request : requests) {
            table.suspect(0, SERVICE, start, request);
        }
    }

    private void quarantineAfterCrash(Fingerprint cause, long start) {
        crash(start, cause);
        table.quarantine(0, cause);
    }

    private boolean isClear(Fingerprint request) {
        return table.suspicionState(0, request) instanceof SuspicionState.Clear;
    }

    private static Fingerprint number(int number) {
        return new Fingerprint(number, ~number);
    }

    @Nested
    class Standings {

        @Test
        void areClearOfWhatIsNotKnown() {
            assertTrue(table.isEmpty());
            assertTrue(isClear(CAUSE));
        }

        @Test
        void countTheCrashesOnce() {
            crash(10, CAUSE);
            crash(10, CAUSE);
            crash(11, CAUSE);
            assertEquals(new SuspicionState.Suspected(CAUSE, 2), table.suspicionState(0, CAUSE));
        }

        @Test
        void areClearAfterAnAnswerUntilTheNextCrash() {
            crash(10, CAUSE);
            table.clear(0, CAUSE);
            assertTrue(isClear(CAUSE));
            assertTrue(table.isEmpty());
            crash(11, CAUSE);
            assertEquals(new SuspicionState.Suspected(CAUSE, 1), table.suspicionState(0, CAUSE));
        }

        /** A copy answers the request although it is quarantined: it was sent to the copy before. */
        @Test
        void areClearAfterAnAnswerAlsoInQuarantine() {
            crash(10, CAUSE);
            quarantineAfterCrash(CAUSE, 11);
            table.clear(0, CAUSE);
            assertTrue(isClear(CAUSE));
        }
    }

    @Nested
    class Quarantines {

        @Test
        void endAfterTenMinutesFollowingTwoCrashes() {
            crash(10, CAUSE);
            quarantineAfterCrash(CAUSE, 11);
            long end = Suspect.QUARANTINE.toNanos();
            assertInstanceOf(SuspicionState.Quarantined.class, table.suspicionState(end - 1, CAUSE));
            SuspicionState.Suspected after =
                    assertInstanceOf(SuspicionState.Suspected.class, table.suspicionState(end, CAUSE));
            assertTrue(after.mustRunAlone());
        }

        @Test
        void lastForGoodFromTheThirdCrashOn() {
            crash(10, CAUSE);
            crash(11, CAUSE);
            quarantineAfterCrash(CAUSE, 12);
            long later = Duration.ofDays(20).toNanos();
            table.removeExpired(later);
            assertInstanceOf(SuspicionState.Quarantined.class, table.suspicionState(later, CAUSE));
        }

        /*
         * A harmless request is retried after a crash and runs alone at another copy when a still unknown request
         * crashes that one. It would be refused for ten minutes; once the causes of both crashes are known, it is
         * cleared.
         */
        @Test
        void endWhereAllCrashesHaveOtherCauses() {
            crash(10, CAUSE, OTHER);
            crash(11, OTHER);
            table.witness(0, SERVICE, 11, number(3));
            assertTrue(isClear(number(3)));
            table.quarantine(0, OTHER);
            assertInstanceOf(SuspicionState.Quarantined.class, table.suspicionState(0, OTHER));
            quarantineAfterCrash(CAUSE, 12);
            crash(13, number(3));
            quarantineAfterCrash(number(3), 14);
            assertTrue(isClear(OTHER));
            assertInstanceOf(SuspicionState.Quarantined.class, table.suspicionState(0, CAUSE));
            assertInstanceOf(SuspicionState.Quarantined.class, table.suspicionState(0, number(3)));
        }

        @Test
        void freeOthersOfTheSameCrashesFromTheThirdOn() {
            crash(10, CAUSE, OTHER);
            quarantineAfterCrash(CAUSE, 11);
            assertFalse(isClear(OTHER));
            quarantineAfterCrash(CAUSE, 12);
            assertTrue(isClear(OTHER));
        }

        @Test
        void comeWithTheThirdCrashWhereCopiesAlsoCrashWithoutIt() {
            crash(10, CAUSE);
            assertTrue(table.wouldBeCause(SECOND, SERVICE, CAUSE));
            crash(20, OTHER);
            assertFalse(table.wouldBeCause(SECOND, SERVICE, CAUSE));
            assertTrue(table.wouldBeCause(SuspectTable.CORRELATION_WINDOW.toNanos(), SERVICE, CAUSE));
            crash(11, CAUSE);
            assertTrue(table.wouldBeCause(SECOND, SERVICE, CAUSE));
        }
    }

    @Nested
    class Bounds {

        @Test
        void keepWhatIsRefusedBeforeWhatIsSuspected() {
            crash(10, CAUSE);
            quarantineAfterCrash(CAUSE, 11);
            for (int i = 0; i < 2 * SuspectTable.MAX_SUSPECTS; i++) {
                table.suspect(i, SERVICE, i, number(i + 10));
            }
            assertTrue(table.size() <= SuspectTable.MAX_SUSPECTS, table.size() + " entries");
            assertTrue(table.size() > SuspectTable.MAX_SUSPECTS / 2, table.size() + " entries");
            assertInstanceOf(SuspicionState.Quarantined.class, table.suspicionState(0, CAUSE));
        }

        @Test
        void forgetWhatDoesNotComeAgain() {
            crash(10, CAUSE, OTHER);
            assertEquals(0, table.removeExpired(Suspect.SUSPICION_RETENTION.toNanos()));
            assertEquals(2, table.removeExpired(Suspect.SUSPICION_RETENTION.toNanos() + 1));
            assertTrue(table.isEmpty());
        }
    }

    /** Nodes that have received the same reports have the same state, whatever the order and number of the reports. */
    @Property(tries = 200)
    void joinsToTheSameInAnyOrder(@ForAll Random random) {
        SuspectTable first = new SuspectTable();
        List<Suspicion> reports = new ArrayList<>();
        for (int step = 0; step < 30; step++) {
            Fingerprint request = number(random.nextInt(5));
            switch (random.nextInt(5)) {
                case 0 -> first.clear(0, request);
                case 4 -> first.witness(0, SERVICE, random.nextInt(8), request);
                case 1 -> first.quarantine(0, request);
                default -> first.suspect(0, SERVICE, random.nextInt(8), request);
            }
            first.suspicion(0, request).ifPresent(reports::add);
        }
        reports.addAll(List.copyOf(reports));
        Collections.shuffle(reports, random);
        SuspectTable second = new SuspectTable();
        reports.forEach(report -> second.merge(0, SERVICE, report));
        for (int i = 0; i < 5; i++) {
            assertEquals(first.suspicionState(0, number(i)), second.suspicionState(0, number(i)));
        }
    }
}
