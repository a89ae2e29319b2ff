package org.carawaysill.policy.ownership;

import java.util.OptionalLong;

/**
 * A claimed request in the holder's table.
 *
 * <p>Immutable and thread safe.
 *
 * @param mintedMillis when its identifier was minted, if the identifier contains it, wall clock since 1970
 * @param contentHash a hash of its content
 * @param claimedNanos when it was claimed, on the monotonic clock
 * @param finished whether its outcome is known or will never become known
 */
record HolderRecord(OptionalLong mintedMillis, int contentHash, long claimedNanos, boolean finished) {

    HolderRecord finish() {
        return new HolderRecord(mintedMillis, contentHash, claimedNanos, true);
    }
}
