package org.carawaysill.node.policy;

import io.vertx.core.Vertx;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import org.carawaysill.kernel.ring.BoundedRing;
import org.carawaysill.kernel.ring.Offer;
import org.carawaysill.kernel.service.Service;
import org.carawaysill.policy.event.Event;

/**
 * The way of all events to the policy's thread.
 *
 * <p>Invariants: no method blocks. New work gets at most half of the ring, so that what finishes work always finds a
 * place. What {@link #deliver} takes is never lost, and events of one thread that are delivered arrive in their order.
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

    /** What found the ring full; as long as it holds anything, nothing may pass it. */
    private final Queue<Arrival> overflow = new ConcurrentLinkedQueue<>();

    private final AtomicBoolean retryPlanned = new AtomicBoolean();

    /**
     * Makes an empty inbox.
     *
     * @param vertx where a delivery that found the ring full is tried again
     */
    public PolicyInbox(Vertx vertx) {
        this.vertx = vertx;
    }

    @Override
    public String name() {
        return NAME;
    }

    /**
     * Offers new work, which the offerer refuses at once where it finds no place.
     *
     * @param event the event
     * @return whether the policy will see it
     */
    public Offer offerWork(Event event) {
        return overflow.isEmpty() ? ring.offerBelow(arrival(event), WORK_LIMIT) : Offer.FULL;
    }

    /**
     * Offers an event that may be lost, since a later one makes up for it.
     *
     * @param event the event
     * @return whether the policy will see it
     */
    public Offer offerNotice(Event event) {
        return overflow.isEmpty() ? ring.offer(arrival(event)) : Offer.FULL;
    }

    /**
     * Delivers an event that must not be lost. Its number is bounded by the work in flight and the connections.
     *
     * @param event the event
     */
    public void deliver(Event event) {
        Arrival arrival = arrival(event);
        if (overflow.isEmpty() && ring.offer(arrival) == Offer.ACCEPTED) {
            return;
        }
        overflow.add(arrival);
        planRetry();
    }

    private static Arrival arrival(Event event) {
        return new Arrival(event, System.nanoTime());
    }

    private void planRetry() {
        if (retryPlanned.compareAndSet(false, true)) {
            vertx.setTimer(RETRY_MILLIS, ignored -> retry());
        }
    }

    private void retry() {
        Arrival oldest = overflow.peek();
        while (oldest != null && ring.offer(oldest) == Offer.ACCEPTED) {
            overflow.remove();
            oldest = overflow.peek();
        }
        retryPlanned.set(false);
        if (!overflow.isEmpty()) {
            planRetry();
        }
    }

    /**
     * Gives the ring that the policy's thread polls.
     *
     * @return the ring
     */
    public BoundedRing<Arrival> ring() {
        return ring;
    }
}
