package org.carawaysill.model.configuration;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import org.carawaysill.model.request.Importance;

/**
 * A rule that matches requests by label and grants them terms. For each term, the first matching selector that states
 * it applies.
 *
 * <p>Immutable and thread safe.
 *
 * @param name the selector's name
 * @param match label patterns by {@code service.KEY}, {@code request.KEY} or {@code caller.KEY}; {@code *} matches any
 *     text; all must match
 * @param importance the importance granted, if stated
 * @param idempotent whether the requests are idempotent, if stated
 * @param retryCredits the retries granted to the whole chain, if stated
 * @param deadline the deadline, if stated
 */
public record Selector(
        String name,
        Map<String, String> match,
        Optional<Importance> importance,
        Optional<Boolean> idempotent,
        Optional<Integer> retryCredits,
        Optional<Duration> deadline) {

    public Selector {
        match = Map.copyOf(match);
    }
}
