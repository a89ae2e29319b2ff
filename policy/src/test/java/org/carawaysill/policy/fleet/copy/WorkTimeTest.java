package org.carawaysill.policy.fleet.copy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class WorkTimeTest {

    private static final long MILLI = Duration.ofMillis(1).toNanos();

    private final WorkTime time = new WorkTime();

    private void answer(long from, int count, long nanos) {
        for (int i = 0; i < count; i++) {
            time.add(from + i * MILLI, nanos);
        }
    }

    @Test
    void isTheMeanOfTheLastRequests() {
        answer(0, 500, 50 * MILLI);
        answer(500 * MILLI, 500, 100 * MILLI);
        assertEquals(0.1, time.seconds(1000 * MILLI), 0.001);
    }

    @Test
    void isNotKnownFromAFewRequests() {
        answer(0, 5, 50 * MILLI);
        assertEquals(0, time.seconds(10 * MILLI));
    }

    /*
     * A copy was slow for a while and therefore received no more requests. Only requests can show that it has
     * recovered, so the old mean must expire.
     */
    @Test
    void isForgottenWithoutRequests() {
        answer(0, 200, 500 * MILLI);
        assertEquals(0, time.seconds(Duration.ofSeconds(3).toNanos()));
        answer(Duration.ofSeconds(3).toNanos(), 30, 50 * MILLI);
        assertEquals(0.05, time.seconds(Duration.ofMillis(3030).toNanos()), 0.001);
    }
}
