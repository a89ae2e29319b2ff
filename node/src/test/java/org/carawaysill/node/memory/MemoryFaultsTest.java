package org.carawaysill.node.memory;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class MemoryFaultsTest {

    private final AtomicInteger stops = new AtomicInteger();
    private final MemoryFaults faults = new MemoryFaults(stops::incrementAndGet);

    @Nested
    class Stop {

        /** Guards against a process that goes on serving after memory ran out. */
        @Test
        void isOrderedOnceWhenMemoryRunsOut() {
            faults.check(new OutOfMemoryError("heap"));
            faults.check(new OutOfMemoryError("heap"));
            assertEquals(1, stops.get());
        }

        @Test
        void isNotOrderedForOtherFaults() {
            faults.check(new IllegalStateException());
            assertEquals(0, stops.get());
        }
    }
}
