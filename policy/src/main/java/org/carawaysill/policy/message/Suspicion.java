package org.carawaysill.policy.message;

import java.util.Set;
import org.carawaysill.model.request.Fingerprint;

/**
 * What nodes tell each other of one request under which copies crashed.
 *
 * <p>Invariant: it only grows, so that it may be told twice, late, or in any order. Immutable and thread safe.
 *
 * @param fingerprint the request
 * @param crashes the starts of copies that crashed while they ran it
 * @param witnessed the starts of copies that crashed while they ran it beside requests that were suspected already
 * @param cleared those of the first kind that it is no longer suspected for, since a copy has answered it since
 * @param quarantinedAt how many crashes it had when it was found to be their cause; 0 where it was not
 * @param remainingNanos how much longer it is refused
 */
public record Suspicion(
        Fingerprint fingerprint,
        Set<Long> crashes,
        Set<Long> witnessed,
        Set<Long> cleared,
        int quarantinedAt,
        long remainingNanos) {

    public Suspicion {
        crashes = Set.copyOf(crashes);
        witnessed = Set.copyOf(witnessed);
        cleared = Set.copyOf(cleared);
    }
}
