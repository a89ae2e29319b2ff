package org.carawaysill.kernel.ring;

import java.util.Optional;
import java.util.concurrent.atomic.LongAdder;
import org.jctools.queues.atomic.MpscAtomicArrayQueue;

/**
 * A first-in, first-out ring of fixed capacity with many producers and one consumer.
 *
 * <p>Invariants: it never holds more than its capacity, an offer never blocks, and a refused offer is counted. Any thread
 * may offer; only one thread may poll.
 *
 * @param <T> the type of the items
 */
public final class BoundedRing<T> {

    private final MpscAtomicArrayQueue<T> queue;

    private final LongAdder refused = new LongAdder();

    /**
     * Makes an empty ring.
     *
     * @param capacity how many items it can hold; rounded up to a power of two
     */
    public BoundedRing(int capacity) {
        this.queue = new MpscAtomicArrayQueue<>(capacity);
    }

    /**
     * Offers an item.
     *
     * @param item the item
     * @return whether the ring took it
     */
    public Offer offer(T item) {
        return counted(queue.offer(item));
    }

    /**
     * Offers an item unless the ring already holds a number of items, so that the rest stays free for others.
     *
     * @param item the item
     * @param limit how many items the ring may hold at most after this offer
     * @return whether the ring took it
     */
    public Offer offerBelow(T item, int limit) {
        return counted(queue.offerIfBelowThreshold(item, limit));
    }

    private Offer counted(boolean accepted) {
        if (accepted) {
            return Offer.ACCEPTED;
        }
        refused.increment();
        return Offer.FULL;
    }

    /**
     * Takes the oldest item.
     *
     * @return the item, or empty where the ring holds none
     */
    public Optional<T> poll() {
        return Optional.ofNullable(queue.poll());
    }

    /**
     * Tells whether the ring holds nothing.
     *
     * @return whether it is empty
     */
    public boolean isEmpty() {
        return queue.isEmpty();
    }

    /**
     * Tells how many items the ring holds; an estimate while others offer.
     *
     * @return the number of items
     */
    public int size() {
        return queue.size();
    }

    /**
     * Tells how many items the ring can hold.
     *
     * @return the number of items
     */
    public int capacity() {
        return queue.capacity();
    }

    /**
     * Tells how many offers the ring refused since it was made.
     *
     * @return the number of refused offers
     */
    public long refusedOffers() {
        return refused.sum();
    }
}
