package org.carawaysill.kernel.service;

import java.util.concurrent.CompletableFuture;

/** A part of a process that other parts find by name. Each implementation states its own thread safety. */
public interface Service {

    /**
     * Names the service; unique within a {@link ServiceRegistry}.
     *
     * @return the name
     */
    String name();

    /**
     * Starts the service.
     *
     * @return completes when it works; fails with why it can't
     */
    default CompletableFuture<Void> start() {
        return CompletableFuture.completedFuture(null);
    }

    /**
     * Stops the service; called only after a successful start.
     *
     * @return completes when it has stopped; fails with what went wrong on the way
     */
    default CompletableFuture<Void> stop() {
        return CompletableFuture.completedFuture(null);
    }
}
