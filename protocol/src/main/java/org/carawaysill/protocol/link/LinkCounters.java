package org.carawaysill.protocol.link;

import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicLongArray;

/**
 * The counters of a link since its start.
 *
 * <p>Invariant: no count decreases. Thread safe: the event loop updates the counters, any thread reads them.
 */
public final class LinkCounters {

    private final AtomicLongArray faults = new AtomicLongArray(LinkFaultKind.values().length);
    private final AtomicLongArray sentFrames = new AtomicLongArray(TrafficKind.values().length);
    private final AtomicLongArray sentBytes = new AtomicLongArray(TrafficKind.values().length);
    private final AtomicLongArray receivedFrames = new AtomicLongArray(TrafficKind.values().length);
    private final AtomicLongArray receivedBytes = new AtomicLongArray(TrafficKind.values().length);

    private final AtomicLong blockedFrames = new AtomicLong();

    LinkCounters() {}

    /**
     * Returns how often a kind of fault occurred.
     *
     * @param kind the kind of fault
     * @return the count
     */
    public long faults(LinkFaultKind kind) {
        return faults.get(kind.ordinal());
    }

    /**
     * Returns how many frames were submitted for writing.
     *
     * @param kind the kind of traffic
     * @return the count
     */
    public long sentFrames(TrafficKind kind) {
        return sentFrames.get(kind.ordinal());
    }

    /**
     * Returns how many bytes were submitted for writing, including the length field of each frame.
     *
     * @param kind the kind of traffic
     * @return the count
     */
    public long sentBytes(TrafficKind kind) {
        return sentBytes.get(kind.ordinal());
    }

    /**
     * Returns how many frames were received.
     *
     * @param kind the kind of traffic
     * @return the count
     */
    public long receivedFrames(TrafficKind kind) {
        return receivedFrames.get(kind.ordinal());
    }

    /**
     * Returns how many bytes were received, including the length field of each frame.
     *
     * @param kind the kind of traffic
     * @return the count
     */
    public long receivedBytes(TrafficKind kind) {
        return receivedBytes.get(kind.ordinal());
    }

    /**
     * Returns how many frames were dropped, in either direction, because their peer is blocked.
     *
     * @return the count
     */
    public long blockedFrames() {
        return blockedFrames.get();
    }

    void countBlocked() {
        blockedFrames.incrementAndGet();
    }

    void countFault(LinkFaultKind kind) {
        faults.incrementAndGet(kind.ordinal());
    }

    void countSent(TrafficKind kind, int frameBytes) {
        sentFrames.incrementAndGet(kind.ordinal());
        sentBytes.addAndGet(kind.ordinal(), frameBytes + FrameBytes.LENGTH_BYTES);
    }

    void countReceived(TrafficKind kind, int frameBytes) {
        receivedFrames.incrementAndGet(kind.ordinal());
        receivedBytes.addAndGet(kind.ordinal(), frameBytes + FrameBytes.LENGTH_BYTES);
    }
}
