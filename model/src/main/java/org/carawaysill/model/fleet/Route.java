package org.carawaysill.model.fleet;

import java.time.Duration;
import java.util.List;

/**
 * Where requests of one host and path prefix go, and under which terms.
 *
 * <p>Invariants: at least one destination with a positive weight; at least one attempt; the prefix begins and ends with a
 * slash. Immutable and thread safe.
 *
 * @param name the operators' name for it
 * @param host the host that requests name
 * @param prefix what their paths begin with
 * @param destinations the services that share its requests
 * @param idempotent whether running a request twice does no harm
 * @param timeout how long a client may be kept waiting
 * @param maximumAttempts to how many copies one request may be handed
 * @param aim the time within which an answer is worth most to the caller
 * @param rank the place in the order of refusal; 0 is refused last
 * @param keyRequired whether only requests with an organisation's key are taken, where keys are checked
 */
public record Route(
        String name,
        String host,
        String prefix,
        List<Destination> destinations,
        boolean idempotent,
        Duration timeout,
        int maximumAttempts,
        Duration aim,
        int rank,
        boolean keyRequired) {

    public Route {
        destinations = List.copyOf(destinations);
        if (destinations.stream().noneMatch(destination -> destination.weight() > 0)) {
            throw new IllegalArgumentException("route " + name + " has no destination");
        }
        if (maximumAttempts < 1) {
            throw new IllegalArgumentException("route " + name + " allows no attempt");
        }
        if (!prefix.startsWith("/") || !prefix.endsWith("/")) {
            throw new IllegalArgumentException("the prefix of route " + name + " must begin and end with a slash");
        }
    }
}
