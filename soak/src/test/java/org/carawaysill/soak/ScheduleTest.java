package org.carawaysill.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ScheduleTest {

    private static final int LINES_KEPT = 60;

    private static Schedule.Result run(long seed) {
        return new Schedule(seed, LINES_KEPT).run();
    }

    @Nested
    class Invariants {

        /*
         * Guards against a request that runs twice, or that runs although its caller got "not run". Seeds 6, 22 and 33:
         * the network duplicates a message, and the node runs the duplicate after it has answered or refused the
         * original.
         */
        @ParameterizedTest
        @ValueSource(longs = {6, 22, 33})
        void holdWhenMessagesAreDoubledAfterTheirAnswer(long seed) {
            assertEquals(List.of(), run(seed).breaches());
        }

        /*
         * Guards against a planned stop that never ends. Seeds 36, 1292 and 1023: callers keep sending to the draining
         * node, which forwards their requests, so that it always has a request in flight.
         */
        @ParameterizedTest
        @ValueSource(longs = {36, 1292, 1023})
        void holdWhenCallersKeepSendingToALeavingNode(long seed) {
            assertEquals(List.of(), run(seed).breaches());
        }

        /*
         * Guards against a request that runs although its caller got "not run". A node without configuration refuses a
         * message that the network has duplicated; the duplicate arrives two seconds later, when the node is ready, and
         * runs.
         */
        @ParameterizedTest
        @ValueSource(longs = 7046)
        void holdWhenAMessageIsDoubledAfterItsRefusal(long seed) {
            assertEquals(List.of(), run(seed).breaches());
        }

        @ParameterizedTest
        @ValueSource(longs = {101, 102, 103, 104, 105, 106})
        void holdUnderRandomFaults(long seed) {
            assertEquals(List.of(), run(seed).breaches());
        }
    }

    @Nested
    class Replay {

        @Test
        void repeatsAScheduleExactly() {
            assertEquals(run(7), run(7));
        }

        @Test
        void differsBySeed() {
            assertNotEquals(run(7).end(), run(8).end());
        }
    }
}
