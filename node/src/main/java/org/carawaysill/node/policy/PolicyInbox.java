package org.carawaysill.node.policy;

import io.vertx.core.Vertx;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import org.carawaysill.kernel.ring.BoundedRing;
import org.carawaysill.kernel.ring.OfferResult;
import org.carawaysill.kernel.service.Service;
import org.carawaysill.policy.event.Event;

/**
 * The queue of all events to the policy's thread.
 *
 * <p>Invariants: no method blocks. New work may fill at most half of the ring, so that events that finish work always
 * find space. Events that are passed to {@link #deliver} are never lost, and those of one thread keep their order.
 * Thread safe.
 */
public final class PolicyInbox implements Service {

    /** The name under which the service is registered. */
    public static final String NAME = "policy-inbox";

    private static final int CAPACITY = 8192;

    private static final int WORK_LIMIT = CAPACITY / 2;

    private static final long RETRY_MILLIS = 1;

    private final Vertx vertx;

    private final BoundedRing<Arrival> ring = new BoundedRing<>(CAPACITY);

    /** Events that found the ring full; until it is empty again, no other event may overtake them. */
    private final Queue<Arrival> overflow = new ConcurrentLinkedQueue<>();

    private final AtomicBoolean retryScheduled = new AtomicBoolean();

    /**
     * Creates an empty inbox.
     *
     * @param vertx schedules the retries of deliveries that found the ring full
     */
    public PolicyInbox(Vertx vertx) {
        this.vertx = vertx;
    }

    @Override
    public String name() {
        return NAME;
    }

    /**
     * Offers new work, which the caller must refuse at once if the ring has no space for it.
     *
     * @param event the event
     * @return whether the policy will receive it
     */
    public OfferResult offerWork(Event event) {
        return overflow.isEmpty() ? ring.offerBelow(arrival(event), WORK_LIMIT) : OfferResult.FULL;
    }

    /**
     * Offers an event that may be lost, since a later one replaces it.
     *
     * @param event the event
     * @return whether the policy will receive it
     */
    public OfferResult offerNotice(Event event) {
        return overflow.isEmpty() ? ring.offer(arrival(event)) : OfferResult.FULL;
    }

    /**
     * Delivers an event that must not be lost. The number of such events is bounded by the work in flight and the
     * connections.
     *
     * @param event the event
     */
    public void deliver(Event event) {
        Arrival arrival = arrival(event);
        if (overflow.isEmpty() && ring.offer(arrival) == OfferResult.ACCEPTED) {
            return;
        }
        overflow.add(arrival);
        scheduleRetry();
    }

    private static Arrival arrival(Event event) {
        return new Arrival(event, System.nanoTime());
    }

    private void scheduleRetry() {
        if (retryScheduled.compareAndSet(false, true)) {
            vertx.setTimer(RETRY_MILLIS, ignored -> retry());
        }
    }

    private void retry() {
        Arrival oldest = overflow.peek();
        while (oldest != null && ring.offer(oldest) == OfferResult.ACCEPTED) {
            overflow.remove();
            oldest = overflow.peek();
        }
        retryScheduled.set(false);
        if (!overflow.isEmpty()) {
            scheduleRetry();
        }
    }

    /**
     * Returns the ring that the policy's thread polls.
     *
     * @return the ring
     */
    public BoundedRing<Arrival> ring() {
        return ring;
    }
}
