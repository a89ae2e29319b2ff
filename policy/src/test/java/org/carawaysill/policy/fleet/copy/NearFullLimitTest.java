package org.carawaysill.policy.fleet.copy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class NearFullLimitTest {

    private static final long MILLI = Duration.ofMillis(1).toNanos();
    private static final int SLOTS = 40;

    private final NearFullLimit limit = new NearFullLimit(true);
    private final SplittableRandom random = new SplittableRandom(4);

    /** Adds samples of requests that began at random loads; at a nearly full copy they take longer by a factor. */
    private void answer(int count, double factorNearFull) {
        limit.reset(0, SLOTS);
        for (int i = 0; i < count; i++) {
            int running = 20 + random.nextInt(SLOTS - 20 + 1);
            double factor = running > 37 ? factorNearFull : 1;
            long nanos = (long) (50 * MILLI * factor * Math.exp(0.5 * random.nextGaussian()));
            limit.answered(new NearFullLimit.WorkKind("lookup", 2), nanos, running);
        }
    }

    @Nested
    class Learned {

        @Test
        void leavesTheLastSlotsFreeWhereTheySlowTheCopyDown() {
            answer(3000, 1.5);
            assertEquals(37, limit.limit(0));
        }

        @Test
        void usesAllSlotsOfACopyThatIsAsFastWhenFull() {
            answer(3000, 1);
            assertEquals(SLOTS, limit.limit(0));
        }

        /** A copy that was replaced or repaired must be able to use its last slots again. */
        @Test
        void triesTheLastSlotsNowAndThen() {
            answer(3000, 1.5);
            assertEquals(SLOTS, limit.limit(Duration.ofMillis(14_700).toNanos()));
            assertEquals(37, limit.limit(Duration.ofMillis(15_100).toNanos()));
        }
    }

    @Nested
    class Unknown {

        /** Both limits must be measured before one is chosen, even if all slots are in demand from the start. */
        @Test
        void usesTheLastSlotsInTurn() {
            limit.reset(0, SLOTS);
            assertEquals(37, limit.limit(0));
            assertEquals(SLOTS, limit.limit(250 * MILLI));
            assertEquals(37, limit.limit(450 * MILLI));
        }

        @ParameterizedTest
        @CsvSource({"100, 94", "40, 37", "13, 12", "4, 3", "1, 1"})
        void leavesAtLeastOneSlotFree(int slots, int usable) {
            limit.reset(0, slots);
            assertEquals(usable, limit.limit(0));
        }

        @Test
        void isAllSlotsWhereItIsSwitchedOff() {
            NearFullLimit off = new NearFullLimit(false);
            off.reset(0, SLOTS);
            assertEquals(SLOTS, off.limit(0));
        }
    }
}
