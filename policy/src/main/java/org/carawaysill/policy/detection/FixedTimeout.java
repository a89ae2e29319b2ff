package org.carawaysill.policy.detection;

import java.time.Duration;

/**
 * Suspects a node that has been silent for a fixed time.
 *
 * <p>Invariant: a node is never suspected before its first sign of life, and the next one ends the suspicion. Not thread
 * safe: one thread owns it.
 */
public final class FixedTimeout {

    private final long timeoutNanos;
    private long suspectsFromNanos = Long.MAX_VALUE;

    /**
     * Creates a detector that has heard nothing yet.
     *
     * @param timeout the silence that is suspicious
     */
    public FixedTimeout(Duration timeout) {
        this.timeoutNanos = timeout.toNanos();
    }

    /**
     * Takes in a sign of life.
     *
     * @param now its arrival in nanoseconds on the monotonic clock
     */
    public void heartbeat(long now) {
        suspectsFromNanos = now + timeoutNanos;
    }

    /**
     * Tells when suspicion begins if nothing more is heard.
     *
     * @return a time in nanoseconds on the monotonic clock, {@link Long#MAX_VALUE} before the first sign of life
     */
    public long suspectsFromNanos() {
        return suspectsFromNanos;
    }

    /**
     * Tells whether the node is suspected.
     *
     * @param now nanoseconds on the monotonic clock
     * @return whether it has been silent for too long
     */
    public boolean suspects(long now) {
        return now >= suspectsFromNanos;
    }
}
