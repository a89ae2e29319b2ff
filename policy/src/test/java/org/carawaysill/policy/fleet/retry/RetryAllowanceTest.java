package org.carawaysill.policy.fleet.retry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.SplittableRandom;
import org.carawaysill.model.identity.ServiceName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RetryAllowanceTest {

    private static final ServiceName DEEP = new ServiceName("deep");
    private static final RetrySettings BOUND = new RetrySettings(0.2, 48, Duration.ofSeconds(10));
    private static final long MILLI = 1_000_000;

    private static int taken(RetryAllowance allowance, long now) {
        int taken = 0;
        while (allowance.takeRetry(now, DEEP)) {
            taken++;
        }
        return taken;
    }

    @Nested
    class Bound {

        /*
         * A deep service fails for a while, and each of thirteen nodes retries what failed. Each knows only its own
         * retries; the sum must stay within what the operators allow the whole fleet in any window.
         */
        @Test
        void holdsOverAllNodesTogether() {
            int nodes = 13;
            int retries = 0;
            for (int node = 0; node < nodes; node++) {
                RetryAllowance allowance = new RetryAllowance(BOUND);
                allowance.nodes(nodes);
                for (int i = 0; i < 100; i++) {
                    allowance.countFirstAttempt(i * 10 * MILLI, DEEP);
                }
                retries += taken(allowance, 1000 * MILLI);
            }
            assertTrue(retries <= 0.2 * 100 * nodes + 48, "retries: " + retries);
            assertTrue(retries >= nodes, "each node may retry at least once: " + retries);
        }

        @Test
        void leavesNothingToNodesThatAreTooManyForTheFixedPart() {
            RetryAllowance allowance = new RetryAllowance(BOUND);
            allowance.nodes(3500);
            assertEquals(0, taken(allowance, 0));
        }

        @Test
        void holdsInEverySlidingWindow() {
            RetryAllowance allowance = new RetryAllowance(BOUND);
            SplittableRandom random = new SplittableRandom(7);
            long[] times = new long[10_000];
            int count = 0;
            for (long now = 0; now < 60_000 * MILLI; now += 10 * MILLI) {
                if (random.nextInt(4) == 0 && allowance.takeRetry(now, DEEP)) {
                    times[count++] = now;
                }
            }
            for (int i = 0; i < count; i++) {
                int within = 0;
                for (int j = i; j < count && times[j] - times[i] <= 10_000 * MILLI; j++) {
                    within++;
                }
                // No first attempts are counted here, so only the fixed part of the allowance is available.
                assertTrue(within <= 48, within + " retries from " + times[i]);
            }
        }
    }

    @Nested
    class Settings {

        @Test
        void applyFromTheNextRetry() {
            RetryAllowance allowance = new RetryAllowance(BOUND);
            assertTrue(allowance.takeRetry(0, DEEP));
            allowance.settings(new RetrySettings(0, 0, Duration.ofSeconds(10)));
            assertFalse(allowance.takeRetry(0, DEEP));
        }
    }
}
