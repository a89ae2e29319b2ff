package org.carawaysill.node.lifecycle;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import org.carawaysill.kernel.service.Service;
import org.carawaysill.kernel.service.ServiceRegistry;
import org.carawaysill.node.policy.PolicyInbox;
import org.carawaysill.policy.event.Event;

/**
 * The sequence from the order to drain until the process may exit.
 *
 * <p>Invariant: the policy receives the order once, however often it is given. Thread safe.
 */
public final class PlannedStop implements Service {

    /** The name under which the service is registered. */
    public static final String NAME = "planned-stop";

    private final PolicyInbox inbox;

    private final AtomicBoolean ordered = new AtomicBoolean();

    private final CompletableFuture<Void> drained = new CompletableFuture<>();

    private final CompletableFuture<Void> stopOrdered = new CompletableFuture<>();

    /**
     * Creates a stop that is not ordered yet.
     *
     * @param registry provides the policy's inbox
     */
    public PlannedStop(ServiceRegistry registry) {
        this.inbox = registry.require(PolicyInbox.NAME, PolicyInbox.class);
    }

    @Override
    public String name() {
        return NAME;
    }

    /** Orders the node to accept no new requests and to finish those in flight; the process keeps running. */
    public void orderDrain() {
        if (ordered.compareAndSet(false, true)) {
            inbox.deliver(new Event.DrainOrdered());
        }
    }

    /** Orders the node to drain and the process to exit afterwards. */
    public void orderStop() {
        orderDrain();
        stopOrdered.complete(null);
    }

    /** Records that the policy has finished every request. */
    public void drained() {
        drained.complete(null);
    }

    /**
     * Returns whether every request is finished.
     *
     * @return whether the policy has reported the end of the drain
     */
    public boolean isDrained() {
        return drained.isDone();
    }

    /**
     * Returns the completion of a drain that ends the process.
     *
     * @return completes when a stop is ordered and every request is finished
     */
    public CompletableFuture<Void> completion() {
        return stopOrdered.thenCombine(drained, (first, second) -> first);
    }
}
