package org.carawaysill.policy.message;

import java.util.Objects;
import java.util.stream.Stream;
import org.carawaysill.model.fleet.CopyRecord;

/**
 * What a node decides by of all that is published, in a form in which two nodes can compare it.
 *
 * <p>The platform's revision does not tell whether two nodes know the same: each heartbeat of a copy may raise it, whoever has
 * read everything anew has seen the newest one, and it goes back when the platform comes back from an older copy. Immutable
 * and thread safe.
 *
 * @param position how often the sender has changed since its process started; 0 where it knows nothing
 * @param digest the same for all nodes that know the same copies and the same configuration
 */
public record PublishedState(long position, long digest) {

    /** Odd, with its bits spread: sums of products with it differ where the factors do, but for one case in 2 to the 32. */
    private static final long SPREAD = 0x9E3779B97F4A7C15L;

    private static final int HALF_OF_BITS = 32;

    /**
     * Works out a digest.
     *
     * @param version the version of the configuration in force
     * @param copies the copies that are known, in any order
     * @return the digest; what changes with each heartbeat is not in it
     */
    public static long digest(long version, Stream<CopyRecord> copies) {
        return copies.mapToLong(PublishedState::digest).sum() + spread(version);
    }

    private static long digest(CopyRecord copy) {
        return spread(Objects.hash(
                copy.copy().value(),
                copy.startedAtMillis(),
                copy.service().value(),
                copy.address().toString(),
                copy.slots(),
                copy.draining()));
    }

    private static long spread(long value) {
        long product = value * SPREAD;
        return (product ^ product >>> HALF_OF_BITS) * SPREAD;
    }
}
