package org.carawaysill.node.exchange;

import java.util.random.RandomGenerator;
import org.carawaysill.model.identity.ExchangeIdentifier;

/** Generates random identifiers of 128 bits. Thread safe if its generator is. */
public final class IdentifierSource {

    private final RandomGenerator random;

    /**
     * Creates a source.
     *
     * @param random the generator; must be secure if others must not be able to guess identifiers
     */
    public IdentifierSource(RandomGenerator random) {
        this.random = random;
    }

    /**
     * Generates an identifier of an exchange.
     *
     * @return the identifier
     */
    public ExchangeIdentifier exchange() {
        return new ExchangeIdentifier(random.nextLong(), random.nextLong());
    }
}
