package org.carawaysill.model.request;

import java.time.Duration;

/**
 * What the operators' selectors grant a request.
 *
 * <p>Invariant: no negative credits, a positive deadline. Immutable and thread safe.
 *
 * @param importance how much the request matters
 * @param idempotent whether running it twice does no harm
 * @param retryCredits how many retries the whole chain may spend on it, from the caller down to the deepest hop
 * @param deadline how long the caller waits, from arrival at the entry node
 */
public record RequestTerms(Importance importance, boolean idempotent, int retryCredits, Duration deadline) {

    public RequestTerms {
        if (retryCredits < 0 || deadline.isNegative() || deadline.isZero()) {
            throw new IllegalArgumentException("retry credits must be at least 0 and the deadline positive");
        }
    }
}
