package org.carawaysill.policy.fleet.publication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import org.carawaysill.model.fleet.Revision;
import org.carawaysill.policy.fleet.FleetEvent.ReadFailure;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PlatformReadsTest {

    private static final long SECOND = Duration.ofSeconds(1).toNanos();
    private static final Duration DRAIN_LIMIT = Duration.ofSeconds(2);
    private static final Revision KNOWN = new Revision(0, 1);
    private static final long NEVER = Long.MAX_VALUE;

    private final PlatformReads reads = new PlatformReads(0, DRAIN_LIMIT, new SplittableRandom(3));

    private void read(long now) {
        reads.start(now, KNOWN);
        reads.succeeded(now, false);
    }

    @Nested
    class Start {

        @Test
        void readsWithinASecondWhereNobodyTellsAnything() {
            assertTrue(reads.dueNanos() <= SECOND);
        }

        /*
         * All nodes of a fleet start at once. Each that reads everything although it has just received another node's
         * state costs the platform two calls or more; a node must first know whether it is a reader.
         */
        @Test
        void waitsWhereOthersHaveToldAndReadsNeverUnlessItIsAReader() {
            reads.stateReceived(SECOND / 100);
            assertTrue(reads.dueNanos() > SECOND / 2);
            reads.setReader(SECOND / 10, true);
            reads.setReader(SECOND / 5, false);
            assertEquals(NEVER, reads.dueNanos());
        }
    }

    @Nested
    class Takeover {

        @Test
        void readsAtOnceAndEverything() {
            reads.stateReceived(SECOND);
            reads.setReader(SECOND, true);
            reads.setReader(2 * SECOND, false);
            reads.setReader(9 * SECOND, true);
            assertEquals(9 * SECOND, reads.dueNanos());
            assertEquals(
                    OptionalLong.empty(), reads.start(9 * SECOND, Revision.NONE).after());
        }

        /*
         * The platform was down for so long that all entries of copies expired, and is back. The node that takes over
         * from the readers has not failed itself and finds no copy. It must not report to all others that there is none
         * during the two seconds until the copies have written again.
         */
        @Test
        void waitsForEntriesThatMayComeBackWhereOthersFailed() {
            reads.stateReceived(SECOND);
            reads.setReader(SECOND, true);
            reads.otherNodeFailed(8 * SECOND);
            read(9 * SECOND);
            assertTrue(reads.reappearanceDeadlineNanos(9 * SECOND) > 11 * SECOND);
        }

        @Test
        void takesAMissingEntryForGoneWhereNobodyFailed() {
            reads.setReader(SECOND, true);
            read(9 * SECOND);
            assertTrue(reads.reappearanceDeadlineNanos(9 * SECOND) <= 9 * SECOND);
        }

        /** A node that the platform rejects must not delay what a reader without gaps reports. */
        @Test
        void trustsAReaderWithoutAGapWhereOthersFail() {
            reads.setReader(0, true);
            read(SECOND);
            reads.otherNodeFailed(SECOND);
            read(SECOND + SECOND / 2);
            assertTrue(reads.reappearanceDeadlineNanos(2 * SECOND) <= 2 * SECOND);
        }
    }

    @Nested
    class Failure {

        @Test
        void ofANodeThatDoesNotReadForOthersIsTriedAgainAfterSeconds() {
            reads.stateReceived(0);
            reads.start(0, KNOWN);
            assertTrue(reads.failed(0, ReadFailure.REFUSED));
            assertTrue(!reads.mayRead());
            assertTrue(reads.dueNanos() >= 5 * SECOND);
        }

        @Test
        void ofAReaderIsTriedAgainSoon() {
            reads.setReader(0, true);
            reads.start(0, KNOWN);
            reads.failed(0, ReadFailure.TIMEOUT);
            assertTrue(reads.dueNanos() < SECOND / 2);
        }
    }
}
