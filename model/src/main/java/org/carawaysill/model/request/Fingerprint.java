package org.carawaysill.model.request;

import java.util.Comparator;

/**
 * A hash that is the same for all attempts of one request, independent of the node that handles them and of their
 * identifiers.
 *
 * <p>Immutable and thread safe.
 *
 * @param high the upper 64 bits
 * @param low the lower 64 bits
 */
public record Fingerprint(long high, long low) {

    /** An order that is the same on all nodes. */
    public static final Comparator<Fingerprint> ORDER =
            Comparator.comparingLong(Fingerprint::high).thenComparingLong(Fingerprint::low);

    @Override
    public String toString() {
        return String.format("%016x%016x", high, low);
    }
}
