package org.carawaysill.kernel.service;

import java.util.concurrent.CompletableFuture;

/**
 * A component of a process that other components look up by name. Each implementation documents its own thread safety.
 */
public interface Service {

    /**
     * Returns the name of the service, which is unique within a {@link ServiceRegistry}.
     *
     * @return the name
     */
    String name();

    /**
     * Starts the service.
     *
     * @return completes when it is running; fails with the cause if it can't start
     */
    default CompletableFuture<Void> start() {
        return CompletableFuture.completedFuture(null);
    }

    /**
     * Stops the service; called only after a successful start.
     *
     * @return completes when it has stopped; fails if stopping failed
     */
    default CompletableFuture<Void> stop() {
        return CompletableFuture.completedFuture(null);
    }
}
