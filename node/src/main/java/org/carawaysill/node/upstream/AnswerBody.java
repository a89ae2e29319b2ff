package org.carawaysill.node.upstream;

import io.netty.buffer.ByteBuf;
import java.util.ArrayList;
import java.util.List;
import org.carawaysill.model.request.Body;
import org.carawaysill.node.exchange.BodyBudget;

/**
 * The part of an answer's body that has arrived.
 *
 * <p>Invariant: holds no more memory than it has reserved, also if the body arrives in very small chunks. Not thread
 * safe: confined to the event loop.
 */
final class AnswerBody {

    /** The size up to which each block is as large as all before it. */
    private static final int LARGEST_GROWTH = 64 * 1024;

    private final BodyBudget budget;
    private final List<byte[]> blocks = new ArrayList<>();
    private int reserved;
    private int length;

    AnswerBody(BodyBudget budget) {
        this.budget = budget;
    }

    int length() {
        return length;
    }

    /** Adds all bytes and returns true; returns false if there is no memory for some of them, which stay unread. */
    boolean append(ByteBuf added) {
        while (added.isReadable()) {
            if (length == reserved && !addBlock(added.readableBytes())) {
                return false;
            }
            byte[] last = blocks.getLast();
            int count = Math.min(added.readableBytes(), reserved - length);
            added.readBytes(last, last.length - (reserved - length), count);
            length += count;
        }
        return true;
    }

    private boolean addBlock(int needed) {
        int size = Math.max(needed, Math.min(length, LARGEST_GROWTH));
        if (!budget.reserve(size)) {
            return false;
        }
        blocks.add(new byte[size]);
        reserved += size;
        return true;
    }

    /** Returns the whole body, which stays here until it is discarded. */
    Body whole() {
        if (blocks.size() == 1 && length == reserved) {
            return Body.wrap(blocks.getFirst());
        }
        byte[] whole = new byte[length];
        int end = 0;
        for (byte[] block : blocks) {
            int count = Math.min(block.length, length - end);
            System.arraycopy(block, 0, whole, end, count);
            end += count;
        }
        return Body.wrap(whole);
    }

    /** Drops what has arrived, and its memory. */
    void discard() {
        budget.release(reserved);
        blocks.clear();
        reserved = 0;
        length = 0;
    }
}
