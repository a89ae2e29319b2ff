package org.carawaysill.policy.detection;

/**
 * Tells from the arrival times of one node's signs of life from when on its silence is suspicious.
 *
 * <p>Invariant: a node is never suspected before its first sign of life, and suspicion ends with the next one. Not thread
 * safe: one thread owns it.
 */
public sealed interface FailureDetector permits FixedTimeout {

    /**
     * Takes in a sign of life.
     *
     * @param now its arrival in nanoseconds on the monotonic clock
     */
    void heartbeat(long now);

    /**
     * Tells when suspicion begins if nothing more is heard.
     *
     * @return a time in nanoseconds on the monotonic clock, {@link Long#MAX_VALUE} before the first sign of life
     */
    long suspectsFromNanos();

    /**
     * Tells whether the node is suspected.
     *
     * @param now nanoseconds on the monotonic clock
     * @return whether it has been silent for too long
     */
    default boolean suspects(long now) {
        return now >= suspectsFromNanos();
    }
}
