package org.carawaysill.policy.membership;

import org.carawaysill.policy.detection.FixedTimeout;
import org.carawaysill.policy.effect.PeerState;

/**
 * What this node knows of another.
 *
 * <p>Invariant: leaving belongs to one process; only a later process under the same name ends it. Not thread safe: one
 * thread owns it.
 */
final class Peer {

    private FixedTimeout detector;
    private long heardNanos;
    private long incarnation = Long.MIN_VALUE;
    private boolean connected;
    private boolean leaving;
    private long lastSentNanos;
    private long lastHeartbeatNanos;
    private PeerState shown = PeerState.UNREACHABLE;

    Peer(FixedTimeout detector) {
        this.detector = detector;
    }

    void detectBy(FixedTimeout replacement) {
        detector = replacement;
        detector.heartbeat(heardNanos);
    }

    /**
     * A connection was opened.
     *
     * @param now nanoseconds on the monotonic clock
     * @param newIncarnation the start time of the other process
     */
    void connected(long now, long newIncarnation) {
        if (newIncarnation > incarnation) {
            incarnation = newIncarnation;
            leaving = false;
        }
        connected = true;
        heard(now);
        lastSentNanos = now;
        lastHeartbeatNanos = now;
    }

    void lost() {
        connected = false;
    }

    boolean isConnected() {
        return connected;
    }

    void heard(long now) {
        heardNanos = now;
        detector.heartbeat(now);
    }

    void leaving() {
        leaving = true;
    }

    void sent(long now) {
        lastSentNanos = now;
    }

    void sentHeartbeat(long now) {
        lastSentNanos = now;
        lastHeartbeatNanos = now;
    }

    /**
     * Tells when the next heartbeat is due: after a silence, and from time to time also without one, since heartbeats
     * alone carry the configuration versions.
     *
     * @param silenceNanos the longest time without any message
     * @param longestNanos the longest time between two heartbeats
     * @return nanoseconds on the monotonic clock
     */
    long nextHeartbeatNanos(long silenceNanos, long longestNanos) {
        return Math.min(lastSentNanos + silenceNanos, lastHeartbeatNanos + longestNanos);
    }

    PeerState state(long now) {
        if (leaving) {
            return PeerState.LEAVING;
        }
        if (!connected) {
            return PeerState.UNREACHABLE;
        }
        return detector.suspects(now) ? PeerState.SUSPECTED : PeerState.LIVE;
    }

    /**
     * Notes the state.
     *
     * @param now nanoseconds on the monotonic clock
     * @return whether it differs from the one noted before
     */
    boolean changed(long now) {
        PeerState state = state(now);
        boolean changed = state != shown;
        shown = state;
        return changed;
    }
}
