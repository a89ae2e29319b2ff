package org.carawaysill.node.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.SelectStrategy;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PacedSelectStrategyTest {

    private static final long INTERVAL = PacedSelectStrategy.INTERVAL.toNanos();

    private long now;
    private long waited;
    private final PacedSelectStrategy selection = new PacedSelectStrategy(() -> now, this::sleep);

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
        void doesNotOccurWhileWakeUpsAreRare() throws Exception {
            for (int i = 0; i < 100; i++) {
                select();
                now += INTERVAL + 1;
            }
            assertTrue(waited <= INTERVAL, () -> "waited " + waited + " ns");
        }

        @Test
        void allowsABurstAfterAnIdleTime() throws Exception {
            now += TimeUnit.SECONDS.toNanos(1);
            for (int i = 0; i < PacedSelectStrategy.MAXIMUM_BURST; i++) {
                select();
            }
            assertEquals(0, waited);
        }

        /*
         * A node with 1,500 wake-ups per second spent most of its processor time on wake-ups, and days with many calls
         * used more than the machine had. Checks that there is at most one wake-up per interval, whatever arrives.
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
            assertTrue(now - begin >= (wakeUps - PacedSelectStrategy.MAXIMUM_BURST) * INTERVAL);
        }
    }

    @Nested
    class Interruption {

        /*
         * A wait may end early, for example by an interrupt; a loop that accumulated the missed time would sleep for
         * seconds later.
         */
        @Test
        void isNotCompensated() throws Exception {
            PacedSelectStrategy interrupted =
                    new PacedSelectStrategy(() -> now, nanos -> waited = Math.max(waited, nanos));
            for (int i = 0; i < 100; i++) {
                interrupted.calculateStrategy(() -> 0, false);
            }
            assertEquals(INTERVAL, waited);
        }
    }

    @Nested
    class Tasks {

        @Test
        void areNotDelayed() throws Exception {
            for (int i = 0; i < 100; i++) {
                assertEquals(7, selection.calculateStrategy(() -> 7, true));
            }
            assertEquals(0, waited);
        }
    }
}
