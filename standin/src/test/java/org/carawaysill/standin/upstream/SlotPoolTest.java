package org.carawaysill.standin.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.carawaysill.standin.upstream.SlotPool.Offer;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class SlotPoolTest {

    private final SlotPool<String> pool = new SlotPool<>(1, 3);

    @Property(seed = "1", tries = 300)
    void neverRunsMoreThanItsSlotsNorLeavesOneFreeWhileSomethingWaits(
            @ForAll @Size(max = 60) int @IntRange(min = 0, max = 9) [] requests) {
        SlotPool<Integer> mixed = new SlotPool<>(3, 5);
        for (int request : requests) {
            if (mixed.requests().contains(request)) {
                mixed.remove(request);
            } else {
                mixed.offer(request);
            }
            assertTrue(mixed.running() <= 3);
            assertTrue(mixed.running() == 3 || mixed.waiting() == 0);
            assertTrue(mixed.running() + mixed.waiting() <= 5);
        }
    }

    @Nested
    class WhenItsSlotIsTaken {

        @Test
        void letsRequestsWaitUpToItsConnections() {
            assertEquals(Offer.RUN, pool.offer("a"));
            assertEquals(Offer.WAIT, pool.offer("b"));
            assertEquals(Offer.WAIT, pool.offer("c"));
            assertEquals(Offer.REFUSED, pool.offer("d"));
        }

        @Test
        void givesTheSlotToTheFirstThatStillWaits() {
            pool.offer("a");
            pool.offer("b");
            pool.offer("c");

            assertEquals(Optional.empty(), pool.remove("b"));
            assertEquals(Optional.of("c"), pool.remove("a"));
            assertEquals(Optional.empty(), pool.remove("c"));
        }
    }
}
