package org.carawaysill.model.fleet;

import java.time.Duration;
import java.util.List;

/**
 * The destinations of requests with one host and path prefix, and the terms that apply to them.
 *
 * <p>Invariants: at least one destination with a positive weight; at least one attempt; the prefix begins and ends with a
 * slash. Immutable and thread safe.
 *
 * @param name the operators' name for it
 * @param host the host of the requests
 * @param prefix the prefix of their paths
 * @param destinations the services among which its requests are split
 * @param kind the kind of its requests
 * @param timeout the maximum time a client waits for an answer
 * @param maximumAttempts the maximum number of copies to which one request may be sent
 * @param targetLatency the target latency, within which an answer is worth most to the caller
 * @param rank the rank in the order of refusal; 0 is refused last
 * @param keyRequired whether requests need an organisation's key, where keys are checked
 */
public record Route(
        String name,
        String host,
        String prefix,
        List<Destination> destinations,
        RequestKind kind,
        Duration timeout,
        int maximumAttempts,
        Duration targetLatency,
        int rank,
        boolean keyRequired) {

    public Route {
        destinations = List.copyOf(destinations);
        if (destinations.stream().noneMatch(destination -> destination.weight() > 0)) {
            throw new IllegalArgumentException("route " + name + " has no destination with a positive weight");
        }
        if (maximumAttempts < 1) {
            throw new IllegalArgumentException("route " + name + " must allow at least one attempt");
        }
        if (!prefix.startsWith("/") || !prefix.endsWith("/")) {
            throw new IllegalArgumentException("the prefix of route " + name + " must begin and end with a slash");
        }
    }

    /**
     * Returns whether its requests may safely run twice.
     *
     * @return whether they are idempotent
     */
    public boolean idempotent() {
        return kind.isIdempotent();
    }
}
