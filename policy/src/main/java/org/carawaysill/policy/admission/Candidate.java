package org.carawaysill.policy.admission;

import org.carawaysill.model.identity.AttemptIdentifier;
import org.carawaysill.model.request.Priority;

/**
 * A request that asks for a slot of the local copy.
 *
 * <p>Immutable and thread safe.
 *
 * @param attempt the attempt, which identifies the request in every later verdict
 * @param operation the operation's name
 * @param priority the place in the order of refusal
 * @param idempotent whether the request may be cancelled while it runs
 * @param depth hops from the entry, which is 0
 * @param arrivedNanos when it arrived, on the monotonic clock
 * @param deadlineNanos when its answer is no longer of use, on the monotonic clock
 */
public record Candidate(
        AttemptIdentifier attempt,
        String operation,
        Priority priority,
        boolean idempotent,
        int depth,
        long arrivedNanos,
        long deadlineNanos) {}
