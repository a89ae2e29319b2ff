package org.carawaysill.node.memory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class MemoryAccountTest {

    private static final int LIMIT = 10_000;
    private static final int BODY_LIMIT = 4_000;

    private final MemoryAccount account = new MemoryAccount(LIMIT, BODY_LIMIT);

    @Nested
    class InAnyOrder {

        private static final int SEEDS = 200;
        private static final int STEPS = 500;
        private static final int LARGEST = 3_000;

        /** Guards against memory that is counted twice, given back twice, or never given back. */
        @Test
        void holdsWhatItsReservationsHold() {
            for (int seed = 1; seed <= SEEDS; seed++) {
                play(new SplittableRandom(seed));
            }
        }

        private void play(SplittableRandom random) {
            List<Reservation> open = new ArrayList<>();
            for (int step = 0; step < STEPS; step++) {
                if (open.isEmpty() || random.nextInt(4) == 0) {
                    open.add(account.reservation(Holder.values()[random.nextInt(Holder.values().length)]));
                }
                Reservation any = open.get(random.nextInt(open.size()));
                long before = any.bytes();
                int wanted = random.nextInt(LARGEST);
                assertEquals(any.resize(wanted) ? wanted : before, any.bytes());
                if (random.nextInt(8) == 0) {
                    any.close();
                    open.remove(any);
                }
                assertEquals(open.stream().mapToLong(Reservation::bytes).sum(), account.held());
                assertTrue(account.held() <= LIMIT && account.held(Holder.BODIES) <= BODY_LIMIT);
            }
            open.forEach(Reservation::close);
            for (Holder holder : Holder.values()) {
                assertEquals(0, account.held(holder));
            }
        }
    }

    @Nested
    class WhenNearlyFull {

        /** Guards against large requests that leave no room for small ones. */
        @Test
        void hasRoomForSmallOnly() {
            account.reservation(Holder.REQUESTS).resize(LIMIT * 3 / 4);
            assertFalse(account.hasRoomForLarge(1));
            assertTrue(account.hasRoom(Holder.REQUESTS, LIMIT / 4));
        }

        /** Guards against bodies that leave no room for requests without them. */
        @Test
        void hasRoomBesideBodies() {
            Reservation bodies = account.reservation(Holder.BODIES);
            assertFalse(bodies.resize(BODY_LIMIT + 1));
            assertTrue(bodies.resize(BODY_LIMIT));
            assertTrue(account.hasRoom(Holder.REQUESTS, LIMIT - BODY_LIMIT));
        }
    }
}
