package org.carawaysill.policy.fleet;

import java.util.Comparator;
import java.util.Optional;
import java.util.TreeSet;
import org.carawaysill.model.identity.ExchangeIdentifier;

/**
 * The requests that have no final answer, by their deadlines.
 *
 * <p>Invariant: a request that has ended is not kept until its deadline, with its head and body. Not thread safe: owned by
 * the policy.
 */
final class RequestDeadlines {

    private final TreeSet<OutgoingRequest> requests = new TreeSet<>(Comparator.comparingLong(
                    OutgoingRequest::deadlineNanos)
            .thenComparing(
                    request -> request.arrival().exchange(),
                    Comparator.comparingLong(ExchangeIdentifier::high).thenComparingLong(ExchangeIdentifier::low)));

    void add(OutgoingRequest request) {
        requests.add(request);
    }

    /** Removes a request that has ended. */
    void remove(OutgoingRequest request) {
        requests.remove(request);
    }

    /** Removes a request whose deadline has come; returns empty if there is none. */
    Optional<OutgoingRequest> takeDue(long now) {
        return nextNanos() <= now ? Optional.of(requests.removeFirst()) : Optional.empty();
    }

    /** Returns the next deadline, {@link Long#MAX_VALUE} if no request waits for its answer. */
    long nextNanos() {
        return requests.isEmpty() ? Long.MAX_VALUE : requests.getFirst().deadlineNanos();
    }

    /** Returns the number of requests. */
    int count() {
        return requests.size();
    }
}
