package org.carawaysill.policy.ownership;

import java.util.OptionalLong;

/**
 * One claimed request.
 *
 * <p>Immutable and thread safe.
 *
 * @param mintedMillis when its identifier was minted, if it says so, wall clock since 1970
 * @param contentHash a hash of its content
 * @param claimedNanos when it was claimed, on the monotonic clock
 * @param finished whether its outcome is known, or never will be
 */
record HolderRecord(OptionalLong mintedMillis, int contentHash, long claimedNanos, boolean finished) {

    HolderRecord finish() {
        return new HolderRecord(mintedMillis, contentHash, claimedNanos, true);
    }
}
