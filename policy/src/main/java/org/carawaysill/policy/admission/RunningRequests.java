package org.carawaysill.policy.admission;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import org.carawaysill.model.identity.AttemptIdentifier;
import org.carawaysill.model.request.Importance;

/**
 * Holds the requests at the local copy, and which of them may be cancelled for a critical one.
 *
 * <p>Invariant: each attempt occurs once. Every change takes time logarithmic in their number. Not thread safe.
 */
final class RunningRequests {

    /** The least important first; among equals the latest started, which loses the least work. */
    private static final Comparator<RunningRequest> CANCELLATION_ORDER = Comparator.comparing(
                    (RunningRequest request) -> request.candidate().priority())
            .thenComparing(RunningRequest::startedNanos, Comparator.reverseOrder())
            .thenComparingLong(request -> request.candidate().attempt().high())
            .thenComparingLong(request -> request.candidate().attempt().low());

    private final Map<AttemptIdentifier, RunningRequest> byAttempt = new HashMap<>();
    private final TreeSet<RunningRequest> cancellable = new TreeSet<>(CANCELLATION_ORDER);

    void start(long now, Candidate candidate) {
        RunningRequest request = new RunningRequest(candidate, now);
        byAttempt.put(candidate.attempt(), request);
        boolean unimportant = candidate.priority().importance().compareTo(Importance.IMPORTANT) < 0;
        if (unimportant && candidate.idempotent()) {
            cancellable.add(request);
        }
    }

    Optional<RunningRequest> get(AttemptIdentifier attempt) {
        return Optional.ofNullable(byAttempt.get(attempt));
    }

    Optional<RunningRequest> remove(AttemptIdentifier attempt) {
        Optional<RunningRequest> removed = Optional.ofNullable(byAttempt.remove(attempt));
        removed.ifPresent(cancellable::remove);
        return removed;
    }

    /**
     * Removes the request whose cancellation loses the least.
     *
     * @return the request, if any is unimportant and idempotent
     */
    Optional<Candidate> removeCancellable() {
        return cancellable.isEmpty()
                ? Optional.empty()
                : remove(cancellable.first().candidate().attempt()).map(RunningRequest::candidate);
    }

    int size() {
        return byAttempt.size();
    }

    boolean isEmpty() {
        return byAttempt.isEmpty();
    }
}
