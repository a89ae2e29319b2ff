package org.carawaysill.kernel.service;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The services of one process, found by name and type.
 *
 * <p>Invariants: names are unique; services start in the order of their registration, each once the previous one is
 * running, and stop in reverse order. Thread safe.
 */
public final class ServiceRegistry {

    private final Map<String, Service> services = new LinkedHashMap<>();

    private final Deque<Service> started = new ArrayDeque<>();

    /**
     * Adds a service.
     *
     * @param <S> the service's type
     * @param service the service
     * @return the service
     * @throws IllegalArgumentException if a service of the same name is registered
     */
    public synchronized <S extends Service> S register(S service) {
        if (services.putIfAbsent(service.name(), service) != null) {
            throw new IllegalArgumentException("a service is already registered as " + service.name());
        }
        return service;
    }

    /**
     * Looks up a service.
     *
     * @param <T> the requested type
     * @param name the service's name
     * @param type the requested type
     * @return the service, or empty if none of that name has that type
     */
    public synchronized <T> Optional<T> find(String name, Class<T> type) {
        return Optional.ofNullable(services.get(name)).filter(type::isInstance).map(type::cast);
    }

    /**
     * Looks up a service that must exist.
     *
     * @param <T> the requested type
     * @param name the service's name
     * @param type the requested type
     * @return the service
     * @throws IllegalStateException if none of that name has that type
     */
    public <T> T require(String name, Class<T> type) {
        return find(name, type)
                .orElseThrow(() -> new IllegalStateException("no service " + name + " of type " + type.getName()));
    }

    /**
     * Starts all services in order. If one fails, the services started before it are stopped.
     *
     * @return completes when all are running; fails with the first failure
     */
    public CompletableFuture<Void> start() {
        CompletableFuture<Void> chain = CompletableFuture.completedFuture(null);
        for (Service service : registered()) {
            chain = chain.thenCompose(ignored -> start(service));
        }
        CompletableFuture<Void> all = chain;
        return all.exceptionallyCompose(failure -> ignoringFailure(stop()).thenCompose(ignored -> all));
    }

    private CompletableFuture<Void> start(Service service) {
        return service.start().thenRun(() -> markStarted(service));
    }

    private synchronized List<Service> registered() {
        return new ArrayList<>(services.values());
    }

    private synchronized void markStarted(Service service) {
        started.push(service);
    }

    private synchronized List<Service> takeStarted() {
        List<Service> reversed = new ArrayList<>(started);
        started.clear();
        return reversed;
    }

    /**
     * Stops the started services in reverse order, each once the previous one has stopped or failed to stop.
     *
     * @return completes when all have stopped; fails with the first failure
     */
    public CompletableFuture<Void> stop() {
        CompletableFuture<Void> chain = CompletableFuture.completedFuture(null);
        for (Service service : takeStarted()) {
            chain = stopAfter(chain, service);
        }
        return chain;
    }

    private static CompletableFuture<Void> stopAfter(CompletableFuture<Void> earlier, Service service) {
        CompletableFuture<Void> stopped = ignoringFailure(earlier).thenCompose(ignored -> service.stop());
        return ignoringFailure(stopped).thenCompose(ignored -> earlier).thenCompose(ignored -> stopped);
    }

    private static CompletableFuture<Void> ignoringFailure(CompletableFuture<Void> future) {
        return future.exceptionally(failure -> null);
    }
}
