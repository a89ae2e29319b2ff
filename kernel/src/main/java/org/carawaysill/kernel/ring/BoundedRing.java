package org.carawaysill.kernel.ring;

import java.lang.invoke.VarHandle;
import java.util.Optional;
import java.util.concurrent.atomic.LongAdder;
import java.util.concurrent.locks.LockSupport;
import org.jctools.queues.atomic.MpscAtomicArrayQueue;

/**
 * A bounded first-in, first-out ring buffer with many producers and one consumer.
 *
 * <p>Invariants: it never holds more than its capacity, an offer never blocks, and a refused offer is counted. Any thread
 * may offer; only one thread, the consumer, may poll and await.
 *
 * @param <T> the type of the items
 */
public final class BoundedRing<T> {

    private final MpscAtomicArrayQueue<T> queue;

    private final LongAdder refused = new LongAdder();

    private volatile Optional<Thread> parkedConsumer = Optional.empty();

    /**
     * Creates an empty ring.
     *
     * @param capacity how many items it can hold; rounded up to a power of two
     */
    public BoundedRing(int capacity) {
        this.queue = new MpscAtomicArrayQueue<>(capacity);
    }

    /**
     * Offers an item, and wakes the consumer if it is waiting.
     *
     * @param item the item
     * @return whether the ring accepted it
     */
    public OfferResult offer(T item) {
        return counted(queue.offer(item));
    }

    /**
     * Offers an item unless the ring already holds a given number of items, so that the remaining capacity stays
     * reserved for other offers; wakes the consumer if it is waiting.
     *
     * @param item the item
     * @param limit how many items the ring may hold at most after this offer
     * @return whether the ring accepted it
     */
    public OfferResult offerBelow(T item, int limit) {
        return counted(queue.offerIfBelowThreshold(item, limit));
    }

    private OfferResult counted(boolean accepted) {
        if (!accepted) {
            refused.increment();
            return OfferResult.FULL;
        }
        // Guards against a lost wake-up, which would leave an item in the ring until the next offer. The fence orders
        // the write of the item before the read of the parked consumer; await() orders its write of the parked consumer
        // before its last check of the ring. So either this thread sees the consumer, or the consumer sees the item.
        VarHandle.fullFence();
        parkedConsumer.ifPresent(LockSupport::unpark);
        return OfferResult.ACCEPTED;
    }

    /**
     * Waits until the ring holds an item; may return early if the thread is unparked for another reason.
     *
     * @param limitNanos the maximum time to wait, in nanoseconds; {@link Long#MAX_VALUE} for no limit
     */
    public void await(long limitNanos) {
        parkedConsumer = Optional.of(Thread.currentThread());
        VarHandle.fullFence();
        if (isEmpty() && limitNanos > 0) {
            LockSupport.parkNanos(this, limitNanos);
        }
        parkedConsumer = Optional.empty();
    }

    /**
     * Removes and returns the oldest item.
     *
     * @return the item, or empty if the ring holds none
     */
    public Optional<T> poll() {
        return Optional.ofNullable(queue.poll());
    }

    /**
     * Returns whether the ring is empty.
     *
     * @return whether it is empty
     */
    public boolean isEmpty() {
        return queue.isEmpty();
    }

    /**
     * Returns how many items the ring holds; an estimate while other threads offer.
     *
     * @return the number of items
     */
    public int size() {
        return queue.size();
    }

    /**
     * Returns how many items the ring can hold.
     *
     * @return the number of items
     */
    public int capacity() {
        return queue.capacity();
    }

    /**
     * Returns how many offers the ring has refused since its creation.
     *
     * @return the number of refused offers
     */
    public long refusedOffers() {
        return refused.sum();
    }
}
