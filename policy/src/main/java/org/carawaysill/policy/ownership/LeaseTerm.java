package org.carawaysill.policy.ownership;

import org.carawaysill.policy.time.Moment;

/**
 * The time over which this node alone acted on some identifiers: from when it can vouch, and until when the lease lasts.
 *
 * <p>Immutable and thread safe.
 *
 * @param sinceNanos every run after this was this node's own and is in its table
 * @param sinceMillis the same on the wall clock as it stood when the lease began, since 1970
 * @param untilNanos the end of the lease
 */
record LeaseTerm(long sinceNanos, long sinceMillis, long untilNanos) {

    /** No lease was ever held. */
    static final LeaseTerm NEVER = new LeaseTerm(Long.MAX_VALUE, Long.MAX_VALUE, Long.MIN_VALUE);

    private static final long NANOS_PER_MILLI = 1_000_000L;

    static LeaseTerm begun(Moment now, long sinceNanos, long untilNanos) {
        return new LeaseTerm(sinceNanos, wallMillis(now, sinceNanos), untilNanos);
    }

    boolean held(long now) {
        return now < untilNanos;
    }

    boolean everHeld() {
        return untilNanos != Long.MIN_VALUE;
    }

    /**
     * Tells whether a lease granted now goes on with this one: it is still held, or no other lease was in force in the
     * gap.
     */
    boolean continues(long now, long freeFromNanos) {
        return held(now) || everHeld() && freeFromNanos <= untilNanos;
    }

    LeaseTerm until(long newUntilNanos) {
        return new LeaseTerm(sinceNanos, sinceMillis, Math.max(untilNanos, newUntilNanos));
    }

    /** The beginning on the wall clock; a clock set back meanwhile doesn't make it earlier. */
    long sinceMillis(Moment now) {
        return Math.max(sinceMillis, wallMillis(now, sinceNanos));
    }

    static long wallMillis(Moment now, long nanos) {
        return now.epochMillis() - Math.floorDiv(now.nanos() - nanos, NANOS_PER_MILLI);
    }
}
