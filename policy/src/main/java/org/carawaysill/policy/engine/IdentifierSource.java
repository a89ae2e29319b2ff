package org.carawaysill.policy.engine;

import java.util.random.RandomGenerator;
import org.carawaysill.model.identity.AttemptIdentifier;
import org.carawaysill.model.identity.RequestIdentifier;

/**
 * Mints identifiers.
 *
 * <p>Invariant: 128 random bits each, so two nodes never mint the same one in practice. Not thread safe: owned by the
 * policy.
 */
final class IdentifierSource {

    private final RandomGenerator random;

    IdentifierSource(RandomGenerator random) {
        this.random = random;
    }

    AttemptIdentifier attempt() {
        return new AttemptIdentifier(random.nextLong(), random.nextLong());
    }

    RequestIdentifier request() {
        return new RequestIdentifier(random.nextLong(), random.nextLong());
    }
}
