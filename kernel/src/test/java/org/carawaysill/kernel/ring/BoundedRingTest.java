package org.carawaysill.kernel.ring;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class BoundedRingTest {

    private static final int CAPACITY = 8;

    @Property(seed = "1", tries = 500)
    void behavesLikeABoundedQueue(@ForAll @Size(max = 60) java.util.List<Boolean> offers) {
        BoundedRing<Integer> ring = new BoundedRing<>(CAPACITY);
        Deque<Integer> model = new ArrayDeque<>();
        long refused = 0;
        for (int i = 0; i < offers.size(); i++) {
            if (!offers.get(i)) {
                assertEquals(Optional.ofNullable(model.poll()), ring.poll());
            } else if (ring.offer(i) == OfferResult.ACCEPTED) {
                model.add(i);
            } else {
                refused++;
                assertEquals(CAPACITY, model.size());
            }
        }
        assertEquals(model.size(), ring.size());
        assertEquals(refused, ring.refusedOffers());
    }

    @Test
    void reservesCapacityForOffersWithoutALimit() {
        BoundedRing<String> ring = new BoundedRing<>(CAPACITY);
        for (int i = 0; i < CAPACITY / 2; i++) {
            assertEquals(OfferResult.ACCEPTED, ring.offerBelow("work", CAPACITY / 2));
        }
        assertEquals(OfferResult.FULL, ring.offerBelow("work", CAPACITY / 2));
        assertEquals(OfferResult.ACCEPTED, ring.offer("completion"));
        assertTrue(ring.size() <= ring.capacity());
    }
}
