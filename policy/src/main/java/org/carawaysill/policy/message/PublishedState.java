package org.carawaysill.policy.message;

import java.util.Objects;
import java.util.stream.Stream;
import org.carawaysill.model.fleet.CopyRecord;

/**
 * A node's known state of the published entries, in a form that two nodes can compare.
 *
 * <p>The platform's revision does not show whether two nodes have the same state: each heartbeat of a copy may raise
 * it, a node that reads everything again gets the newest one, and it falls when the platform is restored to an earlier
 * state. Immutable and thread safe.
 *
 * @param position how often the sender's state has changed since its process started; 0 while it knows nothing
 * @param digest a digest that is equal for all nodes that know the same copies and the same configuration
 */
public record PublishedState(long position, long digest) {

    /**
     * An odd multiplier with evenly spread bits: sums of products with it differ if the factors do, except in one of
     * 2^32 cases.
     */
    private static final long SPREAD = 0x9E3779B97F4A7C15L;

    private static final int HALF_OF_BITS = 32;

    /**
     * Computes a digest.
     *
     * @param version the version of the configuration in force
     * @param copies the known copies, in any order
     * @return the digest, which excludes fields that change with each heartbeat
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
