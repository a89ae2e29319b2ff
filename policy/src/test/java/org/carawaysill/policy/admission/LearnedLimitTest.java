package org.carawaysill.policy.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import java.util.function.IntToDoubleFunction;
import org.carawaysill.policy.admission.LearnedLimit.Result;
import org.carawaysill.policy.admission.LearnedLimit.Sample;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class LearnedLimitTest {

    private static final int SLOTS = 60;
    private static final double MILLI = 1e6;

    private final LearnedLimit limit = new LearnedLimit();
    private final Random random = new Random(1);
    private double now;

    @BeforeEach
    void learnBaseline() {
        limit.slots(SLOTS);
        serve(1, SLOTS / 3, inFlight -> 40);
    }

    /** Simulates steady load: requests end one by one, each after a time that depends on how many are in flight. */
    private void serve(double seconds, int most, IntToDoubleFunction millis) {
        double end = now + seconds * 1000 * MILLI;
        while (now < end) {
            int inFlight = Math.min(most, limit.limit());
            double own = millis.applyAsDouble(inFlight) * (0.5 + random.nextDouble());
            now += own / inFlight * MILLI;
            limit.ended(
                    (long) now, new Sample((long) (now - own * MILLI), inFlight, (long) (own * MILLI), Result.SERVED));
            assertTrue(limit.limit() >= 1 && limit.limit() <= SLOTS);
        }
    }

    private void fail(int inFlight) {
        now += MILLI;
        limit.ended((long) now, new Sample((long) now, inFlight, 0, Result.FAILED));
    }

    @Test
    void keepsTheSlotsWhileTheCopyIsBusyButWell() {
        serve(60, SLOTS, inFlight -> 40);
        assertEquals(SLOTS, limit.limit());
    }

    @Test
    void keepsTheSlotsWhenTheCopyIsSlowWhateverIsInFlight() {
        serve(60, SLOTS, inFlight -> 200);
        assertTrue(limit.limit() >= SLOTS * 3 / 4);
        serve(5, SLOTS, inFlight -> 40);
        assertEquals(SLOTS, limit.limit());
    }

    /**
     * Guards against a published limit that is too high: the copy has sixty slots, but beyond twenty requests in flight
     * its time per request grows faster than their number. With all slots in use it serves a third of its maximum.
     */
    @Test
    void fallsWhenMoreInFlightMakesItSlowerAndReturnsAfterwards() {
        serve(30, SLOTS, inFlight -> 40 * Math.pow(Math.max(1, inFlight / 20.0), 2));
        assertTrue(limit.limit() <= 35, () -> "limit " + limit.limit());
        serve(5, SLOTS, inFlight -> 40);
        assertEquals(SLOTS, limit.limit());
    }

    @Test
    void fallsBelowTheNumberAtWhichTheCopyRefusesAndTriesMoreLater() {
        fail(21);
        serve(0.4, SLOTS, inFlight -> 40);
        assertEquals(20, limit.limit());
        serve(1, SLOTS, inFlight -> 40);
        assertEquals(SLOTS, limit.limit());
    }

    @Test
    void fallsToOneWhenTheCopyIsDownAndReturnsWithinASecond() {
        for (int i = 0; i < 50; i++) {
            fail(limit.limit());
        }
        assertEquals(1, limit.limit());
        serve(1, SLOTS, inFlight -> 40);
        assertEquals(SLOTS, limit.limit());
    }

    @Test
    void fallsOnceForAllThatFailTogether() {
        for (int i = 0; i < SLOTS; i++) {
            limit.ended((long) now, new Sample((long) (now - 40 * MILLI), SLOTS - i, 0, Result.FAILED));
        }
        assertEquals(SLOTS * 7 / 10, limit.limit());
    }
}
