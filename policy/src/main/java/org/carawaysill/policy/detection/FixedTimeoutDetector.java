package org.carawaysill.policy.detection;

import java.time.Duration;

/**
 * Suspects a node that has been silent for a fixed time.
 *
 * <p>Invariant: a node is never suspected before its first message, and each message ends a suspicion. Not thread safe:
 * one thread owns it.
 */
public final class FixedTimeoutDetector {

    private final long timeoutNanos;
    private long suspectsFromNanos = Long.MAX_VALUE;

    /**
     * Creates a detector that has received no message yet.
     *
     * @param timeout the silence after which the node is suspected
     */
    public FixedTimeoutDetector(Duration timeout) {
        this.timeoutNanos = timeout.toNanos();
    }

    /**
     * Records a heartbeat, or any other message, of the node.
     *
     * @param now its arrival in nanoseconds on the monotonic clock
     */
    public void heartbeat(long now) {
        suspectsFromNanos = now + timeoutNanos;
    }

    /**
     * Returns when suspicion begins if no further message arrives.
     *
     * @return a time in nanoseconds on the monotonic clock, {@link Long#MAX_VALUE} before the first message
     */
    public long suspectsFromNanos() {
        return suspectsFromNanos;
    }

    /**
     * Tells whether the node is suspected.
     *
     * @param now nanoseconds on the monotonic clock
     * @return true if it has been silent for at least the timeout
     */
    public boolean suspects(long now) {
        return now >= suspectsFromNanos;
    }
}
