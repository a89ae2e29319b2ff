package org.carawaysill.policy.engine;

import java.util.random.RandomGenerator;
import org.carawaysill.model.identity.AttemptIdentifier;
import org.carawaysill.model.identity.RequestIdentifier;

/**
 * Generates identifiers of attempts and requests.
 *
 * <p>Invariant: each has 128 random bits, so in practice two nodes never generate the same one. Not thread safe: owned by
 * the policy.
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
