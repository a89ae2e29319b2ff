package org.carawaysill.node.entry;

import io.netty.buffer.ByteBuf;
import java.util.Arrays;
import org.carawaysill.model.request.Body;
import org.carawaysill.node.exchange.BodyBudget;

/**
 * The part of a request's body that has arrived.
 *
 * <p>Invariant: holds no more memory than it has reserved. Guards against clients that state long bodies, each of whose
 * first bytes would take memory for all of it. Not thread safe: confined to the event loop.
 */
final class BodyBuffer {

    private final BodyBudget budget;
    private byte[] bytes = new byte[0];
    private int length;
    private int reserved;

    BodyBuffer(BodyBudget budget) {
        this.budget = budget;
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
            if (!reserve(roomy) && !reserve(needed)) {
                return false;
            }
            bytes = Arrays.copyOf(bytes, reserved);
        }
        added.readBytes(bytes, length, count);
        length += count;
        return true;
    }

    private boolean reserve(int needed) {
        boolean hasRoom = budget.reserve(needed - reserved);
        if (hasRoom) {
            reserved = needed;
        }
        return hasRoom;
    }

    /** Returns the whole body and leaves none here; memory of its length stays reserved. */
    Body take() {
        byte[] whole = bytes.length == length ? bytes : Arrays.copyOf(bytes, length);
        budget.release(reserved - length);
        reserved = 0;
        discard();
        return Body.wrap(whole);
    }

    /** Drops what has arrived, and its memory. */
    void discard() {
        budget.release(reserved);
        reserved = 0;
        bytes = new byte[0];
        length = 0;
    }
}
