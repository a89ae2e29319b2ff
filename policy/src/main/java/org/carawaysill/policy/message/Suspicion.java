package org.carawaysill.policy.message;

import java.util.Set;
import org.carawaysill.model.request.Fingerprint;

/**
 * The state of one request during which copies crashed, as exchanged between nodes.
 *
 * <p>Invariant: the state only grows, so it may be received twice, late, or in any order. Immutable and thread safe.
 *
 * @param fingerprint the fingerprint of the request
 * @param crashes the start times of copies that crashed while they ran it
 * @param witnessed the start times of copies that crashed while they ran it beside already suspected requests
 * @param cleared the elements of {@code crashes} for which it is no longer suspected, since a copy has answered it
 *     since
 * @param quarantinedAt the number of its crashes when it was quarantined as their cause; 0 if it was not
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
