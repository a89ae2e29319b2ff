package org.carawaysill.policy.membership;

import org.carawaysill.policy.detection.FixedTimeoutDetector;
import org.carawaysill.policy.effect.PeerState;

/**
 * The known state of one other node.
 *
 * <p>Invariant: once a process is marked as leaving, only a later process under the same name clears the mark. Not
 * thread safe: one thread owns it.
 */
final class Peer {

    private FixedTimeoutDetector detector;
    private long lastReceivedNanos;
    private long incarnation = Long.MIN_VALUE;
    private boolean connected;
    private boolean leaving;
    private long lastSentNanos;
    private long lastHeartbeatNanos;
    private PeerState lastReportedState = PeerState.UNREACHABLE;

    Peer(FixedTimeoutDetector detector) {
        this.detector = detector;
    }

    void replaceDetector(FixedTimeoutDetector replacement) {
        detector = replacement;
        detector.heartbeat(lastReceivedNanos);
    }

    /**
     * Records that a connection was opened.
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
        messageReceived(now);
        lastSentNanos = now;
        lastHeartbeatNanos = now;
    }

    void disconnected() {
        connected = false;
    }

    boolean isConnected() {
        return connected;
    }

    void messageReceived(long now) {
        lastReceivedNanos = now;
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
     * Returns when the next heartbeat is due. A heartbeat is due when nothing was sent for a while, and at a longer
     * interval also between other messages, because only heartbeats carry the configuration versions.
     *
     * @param maximumSilenceNanos the longest time without any message
     * @param maximumIntervalNanos the longest time between two heartbeats
     * @return nanoseconds on the monotonic clock
     */
    long nextHeartbeatNanos(long maximumSilenceNanos, long maximumIntervalNanos) {
        return Math.min(lastSentNanos + maximumSilenceNanos, lastHeartbeatNanos + maximumIntervalNanos);
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
     * Compares the state with that of the previous call, and remembers it.
     *
     * @param now nanoseconds on the monotonic clock
     * @return true if the state differs from that of the previous call
     */
    boolean stateChanged(long now) {
        PeerState state = state(now);
        boolean changed = state != lastReportedState;
        lastReportedState = state;
        return changed;
    }
}
