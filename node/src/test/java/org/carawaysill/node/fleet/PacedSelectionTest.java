package org.carawaysill.node.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.SelectStrategy;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PacedSelectionTest {

    private static final long INTERVAL = PacedSelection.INTERVAL.toNanos();

    private long now;
    private long waited;
    private final PacedSelection selection = new PacedSelection(() -> now, this::sleep);

    private void sleep(long nanos) {
        now += nanos;
        waited += nanos;
    }

    private void select() throws Exception {
        assertEquals(SelectStrategy.SELECT, selection.calculateStrategy(() -> 0, false));
    }

    @Nested
    class Waiting {

        @Test
        void neverComesWhileWakeUpsAreRare() throws Exception {
            for (int i = 0; i < 100; i++) {
                select();
                now += INTERVAL + 1;
            }
            assertTrue(waited <= INTERVAL, () -> "waited " + waited + " ns");
        }

        @Test
        void sparesAFewWakeUpsAfterAQuietTime() throws Exception {
            now += TimeUnit.SECONDS.toNanos(1);
            for (int i = 0; i < PacedSelection.MOST_SAVED; i++) {
                select();
            }
            assertEquals(0, waited);
        }

        /*
         * A node with 1,500 wake-ups a second spent most of its processor time on waking up: days with many calls took more
         * of it than a machine has. No more wake-ups than one an interval, whatever arrives.
         */
        @Test
        void spacesTheWakeUpsOfABusyLoop() throws Exception {
            now += TimeUnit.SECONDS.toNanos(1);
            long begin = now;
            int wakeUps = 1_000;
            for (int i = 0; i < wakeUps; i++) {
                select();
                now += INTERVAL / 10;
            }
            assertTrue(now - begin >= (wakeUps - PacedSelection.MOST_SAVED) * INTERVAL);
        }
    }

    @Nested
    class Interruption {

        /* A wait may end early, as by an interrupt: a loop that added up what it missed would sleep for seconds later. */
        @Test
        void isNotMadeUpFor() throws Exception {
            PacedSelection interrupted = new PacedSelection(() -> now, nanos -> waited = Math.max(waited, nanos));
            for (int i = 0; i < 100; i++) {
                interrupted.calculateStrategy(() -> 0, false);
            }
            assertEquals(INTERVAL, waited);
        }
    }

    @Nested
    class Tasks {

        @Test
        void areNotKeptWaiting() throws Exception {
            for (int i = 0; i < 100; i++) {
                assertEquals(7, selection.calculateStrategy(() -> 7, true));
            }
            assertEquals(0, waited);
        }
    }
}
