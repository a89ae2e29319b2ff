package org.carawaysill.policy.time;

import java.time.Duration;

/**
 * A moment on this node's two clocks.
 *
 * <p>Durations and timeouts use the monotonic clock only. The wall clock is compared with the time at which an
 * identifier was minted, under a margin. A process that was paused receives a late moment with its next event.
 * Immutable and thread safe.
 *
 * @param nanos nanoseconds on the monotonic clock, from an arbitrary origin
 * @param epochMillis milliseconds of wall-clock time since 1970
 */
public record Moment(long nanos, long epochMillis) {

    /**
     * Returns a later moment, advanced on both clocks.
     *
     * @param duration the time to add
     * @return the later moment
     */
    public Moment plus(Duration duration) {
        return new Moment(nanos + duration.toNanos(), epochMillis + duration.toMillis());
    }
}
