package org.carawaysill.model.request;

import java.time.Duration;

/**
 * The terms that the operators' selectors grant a request.
 *
 * <p>Invariant: no negative credits, a positive deadline. Immutable and thread safe.
 *
 * @param importance the importance of the request
 * @param idempotent whether it may safely run twice
 * @param retryCredits how many retries the whole chain may spend on it, from the caller to the deepest hop
 * @param deadline how long the caller waits, from arrival at the entry node
 */
public record RequestTerms(Importance importance, boolean idempotent, int retryCredits, Duration deadline) {

    public RequestTerms {
        if (retryCredits < 0 || deadline.isNegative() || deadline.isZero()) {
            throw new IllegalArgumentException("retry credits must be at least 0 and the deadline positive");
        }
    }
}
