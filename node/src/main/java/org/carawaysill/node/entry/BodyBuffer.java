package org.carawaysill.node.entry;

import io.netty.buffer.ByteBuf;
import java.util.Arrays;
import org.carawaysill.model.request.Body;
import org.carawaysill.node.memory.Reservation;

/**
 * The part of a request's body that has arrived.
 *
 * <p>Invariant: holds no more memory than it has reserved. Guards against clients that state long bodies, each of whose
 * first bytes would take memory for all of it. Not thread safe: confined to the event loop.
 */
final class BodyBuffer {

    private final Reservation reservation;
    private byte[] bytes = new byte[0];
    private int length;

    BodyBuffer(Reservation reservation) {
        this.reservation = reservation;
    }

    int length() {
        return length;
    }

    /**
     * Adds bytes.
     *
     * @param added the bytes
     * @param statedLength the length that the head states of the whole body, 0 if it states none
     * @return whether there was memory for them, and for the stated length
     */
    boolean append(ByteBuf added, int statedLength) {
        int count = added.readableBytes();
        int needed = Math.max(length + count, statedLength);
        if (bytes.length < needed) {
            int roomy = Math.max(needed, Math.min(2 * bytes.length, length + 2 * count));
            if (!reservation.resize(roomy) && !reservation.resize(needed)) {
                return false;
            }
            bytes = Arrays.copyOf(bytes, (int) reservation.bytes());
        }
        added.readBytes(bytes, length, count);
        length += count;
        return true;
    }

    /** Returns the whole body and leaves none here, nor a reservation for it. */
    Body take() {
        byte[] whole = bytes.length == length ? bytes : Arrays.copyOf(bytes, length);
        discard();
        return Body.wrap(whole);
    }

    /** Drops what has arrived, and its memory. */
    void discard() {
        reservation.close();
        bytes = new byte[0];
        length = 0;
    }
}
