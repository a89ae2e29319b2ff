package org.carawaysill.policy.ownership;

import org.carawaysill.policy.time.Moment;

/**
 * The period in which only this node acts on some identifiers: since when it can vouch for them, and when its lease ends.
 *
 * <p>Immutable and thread safe.
 *
 * @param sinceNanos every run after this time was started by this node and is in its table
 * @param sinceMillis the same time on the wall clock as read when the lease began, since 1970
 * @param untilNanos the end of the lease
 */
record LeaseTerm(long sinceNanos, long sinceMillis, long untilNanos) {

    /** The term of a node that never held a lease. */
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
     * Returns whether a lease granted now continues this one: this one is still held, or no other lease was in force in the
     * gap.
     */
    boolean continues(long now, long freeFromNanos) {
        return held(now) || everHeld() && freeFromNanos <= untilNanos;
    }

    LeaseTerm until(long newUntilNanos) {
        return new LeaseTerm(sinceNanos, sinceMillis, Math.max(untilNanos, newUntilNanos));
    }

    /** Returns the beginning on the wall clock; setting the clock back meanwhile does not make it earlier. */
    long sinceMillis(Moment now) {
        return Math.max(sinceMillis, wallMillis(now, sinceNanos));
    }

    static long wallMillis(Moment now, long nanos) {
        return now.epochMillis() - Math.floorDiv(now.nanos() - nanos, NANOS_PER_MILLI);
    }
}
