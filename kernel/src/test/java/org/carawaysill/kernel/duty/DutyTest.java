package org.carawaysill.kernel.duty;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.CyclicBarrier;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;
import org.carawaysill.kernel.ring.BoundedRing;
import org.carawaysill.kernel.ring.OfferResult;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
class DutyTest {

    private static final int TIMEOUT_SECONDS = 30;

    private final BoundedRing<Integer> ring = new BoundedRing<>(64);

    private final Semaphore handled = new Semaphore(0);

    private final CountDownLatch woken = new CountDownLatch(2);

    private final AtomicLong nextWake = new AtomicLong(Long.MAX_VALUE);

    private final AtomicInteger wakeUps = new AtomicInteger();

    private final DutyWork<Integer> work = new DutyWork<>() {
        @Override
        public void handle(Integer item) {
            if (item < 0) {
                throw new IllegalStateException("broken item");
            }
            handled.release();
        }

        @Override
        public void wakeUp() {
            wakeUps.incrementAndGet();
            woken.countDown();
        }

        @Override
        public long nextWakeNanos() {
            return nextWake.get();
        }
    };

    private final Duty<Integer> duty = new Duty<>("test-duty", ring, work);

    private void offerUntilAccepted(int item) {
        while (ring.offer(item) == OfferResult.FULL) {
            Thread.onSpinWait();
        }
    }

    @Test
    void handlesAcceptedItemsBeforeItStops() throws InterruptedException {
        IntStream.range(0, 50).forEach(ring::offer);
        duty.start();
        duty.stop().join();
        assertTrue(handled.tryAcquire(50, TIMEOUT_SECONDS, TimeUnit.SECONDS));
    }

    /*
     * Guards against a request that hangs on an idle node because its event stays in the ring while the policy's thread
     * sleeps: the producer writes the item and reads the flag after the duty's last check of the ring, but before the
     * duty sets the flag. In each round, every producer offers one item when the duty is about to park, and the test
     * waits until it is handled.
     */
    @Test
    void neverParksWhileAnItemIsQueued() throws Exception {
        duty.start();
        int producers = 4;
        CyclicBarrier together = new CyclicBarrier(producers);
        List<Thread> threads = IntStream.range(0, producers)
                .mapToObj(i -> Thread.ofPlatform().start(() -> offerRounds(together)))
                .toList();
        for (int round = 0; round < 5_000; round++) {
            assertTrue(handled.tryAcquire(producers, TIMEOUT_SECONDS, TimeUnit.SECONDS));
        }
        for (Thread thread : threads) {
            thread.join();
        }
        duty.stop().join();
    }

    private void offerRounds(CyclicBarrier together) {
        try {
            for (int round = 0; round < 5_000; round++) {
                together.await();
                offerUntilAccepted(round);
            }
        } catch (Exception failure) {
            throw new IllegalStateException(failure);
        }
    }

    /*
     * Guards against full load of a core on an idle node: the work repeatedly requests a wake-up in the past. The duty
     * enforces a minimum time between wake-ups, so that items are still handled and wake-ups stay few.
     */
    @Test
    void keepsATimeBetweenWakeUpsThatAreAlwaysDue() throws InterruptedException {
        nextWake.set(System.nanoTime() - 1);
        long start = System.nanoTime();
        duty.start();
        ring.offer(1);
        assertTrue(handled.tryAcquire(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        assertTrue(woken.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        duty.stop().join();
        long mostWakeUps = 1 + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
        assertTrue(wakeUps.get() <= mostWakeUps);
    }

    @Test
    void reportsTheExceptionOfTheWork() {
        duty.start();
        ring.offer(-1);
        CompletionException failure =
                assertThrows(CompletionException.class, () -> duty.stop().join());
        assertEquals("broken item", failure.getCause().getMessage());
    }
}
