package org.carawaysill.policy.detection;

import java.time.Duration;

/**
 * Suspects a node that has been silent for a fixed time.
 *
 * <p>Not thread safe: one thread owns it.
 */
public final class FixedTimeout implements FailureDetector {

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

    @Override
    public void heartbeat(long now) {
        suspectsFromNanos = now + timeoutNanos;
    }

    @Override
    public long suspectsFromNanos() {
        return suspectsFromNanos;
    }
}
