package org.carawaysill.policy.ownership;

import java.util.List;
import java.util.OptionalLong;
import org.carawaysill.policy.time.Moment;

/**
 * Determines for which identifiers a holder can vouch that every run of them is in its table.
 *
 * <p>The minting time is evidence for this reason: a node that ran an identifier before {@code sinceMillis} accepted it as
 * minted no later than its own wall clock plus the future tolerance, and its clock was at most the margin ahead of this
 * node's. So an identifier minted later than the sum of all three was not run before. This holds whatever the caller's
 * clock showed. Immutable and thread safe.
 *
 * @param sinceNanos no other node ran an identifier of this holder after this time on the monotonic clock
 * @param sinceMillis the same on this node's wall clock, since 1970
 * @param clockMarginMillis by how much the wall clocks of two nodes may differ
 * @param handedOver the intervals for which leaving holders vouched
 */
record Vouch(long sinceNanos, long sinceMillis, long clockMarginMillis, List<Interval> handedOver) {

    /**
     * The time for which a leaving holder vouched.
     *
     * @param fromMillis when it began, on its wall clock since 1970
     * @param untilMillis when it stopped, on the same clock
     */
    record Interval(long fromMillis, long untilMillis) {}

    Vouch {
        handedOver = List.copyOf(handedOver);
    }

    boolean covers(Moment now, OptionalLong mintedMillis, HolderSettings settings) {
        if (mintedMillis.isEmpty()) {
            return now.nanos() - sinceNanos >= settings.keyLifetime().toNanos();
        }
        long tolerance = clockMarginMillis + settings.futureTolerance().toMillis();
        long minted = mintedMillis.getAsLong();
        return minted > sinceMillis + tolerance
                || handedOver.stream()
                        .anyMatch(
                                interval -> minted > interval.fromMillis + tolerance && minted <= interval.untilMillis);
    }
}
