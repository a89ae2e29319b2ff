package org.carawaysill.protocol.link;

import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicLongArray;

/**
 * What a link has counted since its start.
 *
 * <p>Invariant: no count falls. Thread safe: the event loop counts, any thread reads.
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
     * Tells how often a fault arose.
     *
     * @param kind the kind of fault
     * @return the count
     */
    public long faults(LinkFaultKind kind) {
        return faults.get(kind.ordinal());
    }

    /**
     * Tells how many frames were given to be written.
     *
     * @param kind the kind of traffic
     * @return the count
     */
    public long sentFrames(TrafficKind kind) {
        return sentFrames.get(kind.ordinal());
    }

    /**
     * Tells how many bytes were given to be written, with the length before each frame.
     *
     * @param kind the kind of traffic
     * @return the count
     */
    public long sentBytes(TrafficKind kind) {
        return sentBytes.get(kind.ordinal());
    }

    /**
     * Tells how many frames arrived.
     *
     * @param kind the kind of traffic
     * @return the count
     */
    public long receivedFrames(TrafficKind kind) {
        return receivedFrames.get(kind.ordinal());
    }

    /**
     * Tells how many bytes arrived, with the length before each frame.
     *
     * @param kind the kind of traffic
     * @return the count
     */
    public long receivedBytes(TrafficKind kind) {
        return receivedBytes.get(kind.ordinal());
    }

    /**
     * Tells how many frames were dropped, either way, because their peer is blocked.
     *
     * @return the count
     */
    public long blockedFrames() {
        return blockedFrames.get();
    }

    void blocked() {
        blockedFrames.incrementAndGet();
    }

    void fault(LinkFaultKind kind) {
        faults.incrementAndGet(kind.ordinal());
    }

    void sent(TrafficKind kind, int frameBytes) {
        sentFrames.incrementAndGet(kind.ordinal());
        sentBytes.addAndGet(kind.ordinal(), frameBytes + FrameBytes.LENGTH_BYTES);
    }

    void received(TrafficKind kind, int frameBytes) {
        receivedFrames.incrementAndGet(kind.ordinal());
        receivedBytes.addAndGet(kind.ordinal(), frameBytes + FrameBytes.LENGTH_BYTES);
    }
}
