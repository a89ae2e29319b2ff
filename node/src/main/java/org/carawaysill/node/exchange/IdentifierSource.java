package org.carawaysill.node.exchange;

import java.util.random.RandomGenerator;
import org.carawaysill.model.identity.ExchangeIdentifier;

/** Draws identifiers of 128 random bits. As thread safe as its generator. */
public final class IdentifierSource {

    private final RandomGenerator random;

    /**
     * Makes a source.
     *
     * @param random the generator; a secure one where others must not guess identifiers
     */
    public IdentifierSource(RandomGenerator random) {
        this.random = random;
    }

    /**
     * Draws an identifier of an exchange.
     *
     * @return the identifier
     */
    public ExchangeIdentifier exchange() {
        return new ExchangeIdentifier(random.nextLong(), random.nextLong());
    }
}
