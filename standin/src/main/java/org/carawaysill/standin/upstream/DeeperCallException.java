package org.carawaysill.standin.upstream;

import java.util.Optional;

/**
 * A call to a deeper service that brought no answer of use.
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
     * Gives what the node said of the deeper request.
     *
     * @return the header {@code Carawaysill-Outcome}
     */
    Optional<String> outcome() {
        return outcome;
    }
}
