package org.carawaysill.node.entry;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;

/**
 * How much is read of a connection before others have their turn.
 *
 * <p>Guards against bytes that take many steps to decode, such as very short lines and chunks: while those of some
 * connections are decoded, no other one is served. Not thread safe: confined to the event loop.
 */
final class ReadTurns implements RecvByteBufAllocator {

    /** The number of steps in one turn up to which no connection is slowed down. */
    private static final int UNHURRIED_STEPS = 256;

    /** The number of bytes per step below which a connection is slowed down. */
    private static final int COSTLY_BYTES_PER_STEP = 16;

    /** The number of steps of a request beside its lines: it is decided on, and answered. */
    private static final int STEPS_PER_REQUEST = 16;

    /** What is read in one turn of a connection that is slowed down. */
    private static final int COSTLY_TURN_BYTES = 2048;

    private final RecvByteBufAllocator usual = new AdaptiveRecvByteBufAllocator();
    private int steps;
    private int bytes;
    private boolean costly;

    /** Counts bytes that were read. */
    void read(int count) {
        bytes += count;
    }

    /** Counts the decoding of a head. */
    void decodedHead(int lines) {
        steps += STEPS_PER_REQUEST + lines;
    }

    /** Counts the decoding of a part of a body. */
    void decodedPart() {
        steps++;
    }

    /** Notes that all connections had their turn. */
    void turnEnded() {
        costly = isCostly();
        steps = 0;
        bytes = 0;
    }

    private boolean isCostly() {
        return steps > UNHURRIED_STEPS && steps * COSTLY_BYTES_PER_STEP > bytes;
    }

    @Override
    public Handle newHandle() {
        return new TurnHandle(usual.newHandle());
    }

    /** Reads as usual, unless the connection is slowed down. Not thread safe: confined to the event loop. */
    private final class TurnHandle extends DelegatingHandle {

        TurnHandle(Handle delegate) {
            super(delegate);
        }

        @Override
        public ByteBuf allocate(ByteBufAllocator allocator) {
            return costly
                    ? allocator.ioBuffer(COSTLY_TURN_BYTES, COSTLY_TURN_BYTES)
                    : delegate().allocate(allocator);
        }

        @Override
        public boolean continueReading() {
            return !costly && !isCostly() && delegate().continueReading();
        }
    }
}
