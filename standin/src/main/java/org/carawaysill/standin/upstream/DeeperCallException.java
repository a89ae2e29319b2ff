package org.carawaysill.standin.upstream;

import java.util.Optional;

/**
 * Signals that a call to a deeper service returned no usable answer.
 *
 * <p>Immutable and thread safe.
 */
final class DeeperCallException extends RuntimeException {

    private final transient Optional<String> outcome;

    DeeperCallException(String service, String reason, Optional<String> outcome) {
        super("call to " + service + ": " + reason, null, false, false);
        this.outcome = outcome;
    }

    /**
     * Returns the outcome that the node reported for the deeper request.
     *
     * @return the header {@code Carawaysill-Outcome}
     */
    Optional<String> outcome() {
        return outcome;
    }
}
