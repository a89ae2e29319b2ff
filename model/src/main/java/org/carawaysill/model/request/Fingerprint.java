package org.carawaysill.model.request;

import java.util.Comparator;

/**
 * What is the same in all tries of one request, whichever node they come through and whatever they are named.
 *
 * <p>Immutable and thread safe.
 *
 * @param high the first half of its bits
 * @param low the second half of its bits
 */
public record Fingerprint(long high, long low) {

    /** An order that is the same everywhere. */
    public static final Comparator<Fingerprint> ORDER =
            Comparator.comparingLong(Fingerprint::high).thenComparingLong(Fingerprint::low);

    @Override
    public String toString() {
        return String.format("%016x%016x", high, low);
    }
}
