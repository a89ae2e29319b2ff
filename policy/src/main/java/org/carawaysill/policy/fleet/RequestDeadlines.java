package org.carawaysill.policy.fleet;

import java.util.Comparator;
import java.util.Optional;
import java.util.PriorityQueue;

/** The requests that have no final answer, by their deadlines. Not thread safe: owned by the policy. */
final class RequestDeadlines {

    private final PriorityQueue<OutgoingRequest> requests =
            new PriorityQueue<>(Comparator.comparingLong(OutgoingRequest::deadlineNanos));

    void add(OutgoingRequest request) {
        requests.add(request);
    }

    /** Removes a request whose deadline has come; returns empty if there is none. */
    Optional<OutgoingRequest> takeDue(long now) {
        return nextNanos() <= now ? Optional.of(requests.remove()) : Optional.empty();
    }

    /** Returns the next deadline, {@link Long#MAX_VALUE} if no request waits for its answer. */
    long nextNanos() {
        while (!requests.isEmpty() && requests.peek().isFinished()) {
            requests.remove();
        }
        return requests.isEmpty() ? Long.MAX_VALUE : requests.peek().deadlineNanos();
    }
}
