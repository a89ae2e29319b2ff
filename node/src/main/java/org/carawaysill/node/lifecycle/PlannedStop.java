package org.carawaysill.node.lifecycle;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import org.carawaysill.kernel.service.Service;
import org.carawaysill.kernel.service.ServiceRegistry;
import org.carawaysill.node.policy.PolicyInbox;
import org.carawaysill.policy.event.Event;

/**
 * The way from the order to drain until the process may end.
 *
 * <p>Invariant: the policy gets the order once, however often it is given. Thread safe.
 */
public final class PlannedStop implements Service {

    /** The name under which the service is registered. */
    public static final String NAME = "planned-stop";

    private final PolicyInbox inbox;

    private final AtomicBoolean ordered = new AtomicBoolean();

    private final CompletableFuture<Void> drained = new CompletableFuture<>();

    private final CompletableFuture<Void> stopOrdered = new CompletableFuture<>();

    /**
     * Makes a stop that nobody ordered yet.
     *
     * @param registry where the inbox is found
     */
    public PlannedStop(ServiceRegistry registry) {
        this.inbox = registry.require(PolicyInbox.NAME, PolicyInbox.class);
    }

    @Override
    public String name() {
        return NAME;
    }

    /** Orders that the node takes no new work and finishes what it has; the process goes on. */
    public void orderDrain() {
        if (ordered.compareAndSet(false, true)) {
            inbox.deliver(new Event.DrainOrdered());
        }
    }

    /** Orders that the node drains and the process ends after that. */
    public void orderStop() {
        orderDrain();
        stopOrdered.complete(null);
    }

    /** Notes that the policy has finished every request. */
    public void drained() {
        drained.complete(null);
    }

    /**
     * Tells whether every request is finished.
     *
     * @return whether the policy said so
     */
    public boolean isDrained() {
        return drained.isDone();
    }

    /**
     * Waits for the end of a drain that ends the process.
     *
     * @return completes when a stop is ordered and every request is finished
     */
    public CompletableFuture<Void> mayEnd() {
        return stopOrdered.thenCombine(drained, (first, second) -> first);
    }
}
