package org.carawaysill.node.entry;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelProgressiveFuture;
import io.netty.channel.ChannelProgressiveFutureListener;
import io.netty.channel.ChannelProgressivePromise;
import io.netty.channel.ChannelPromise;
import io.netty.util.concurrent.PromiseNotifier;
import java.util.function.LongSupplier;

/**
 * Follows the bytes of a client's connection from the encoder until the operating system has accepted them.
 *
 * <p>Netty reports the progress of a buffer also while only a part of it is written, so that a client that reads a large
 * answer slowly can be told from one that has stopped reading. Invariant: no byte is left once the connection has ended.
 * Not thread safe: confined to the event loop.
 */
final class ConnectionOutput extends ChannelOutboundHandlerAdapter {

    private final LongSupplier nanoTime;
    private long unwrittenBytes;
    private long progressNanos;

    /**
     * Creates the output of a connection.
     *
     * @param nanoTime the monotonic time
     */
    ConnectionOutput(LongSupplier nanoTime) {
        this.nanoTime = nanoTime;
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        int bytes = ((ByteBuf) message).readableBytes();
        if (unwrittenBytes == 0) {
            progressNanos = nanoTime.getAsLong();
        }
        unwrittenBytes += bytes;
        ChannelProgressivePromise written = context.newProgressivePromise();
        written.addListener(new PendingBuffer(bytes));
        PromiseNotifier.cascade(written, promise);
        context.write(message, written);
    }

    /** Returns how many bytes the operating system has not accepted yet. */
    long unwrittenBytes() {
        return unwrittenBytes;
    }

    /** Returns when bytes were last accepted, or began to wait if none was since. */
    long progressNanos() {
        return progressNanos;
    }

    /** The bytes of one buffer that are not written yet. */
    private final class PendingBuffer implements ChannelProgressiveFutureListener {

        private long remaining;

        PendingBuffer(int bytes) {
            remaining = bytes;
        }

        @Override
        public void operationProgressed(ChannelProgressiveFuture future, long progress, long total) {
            accepted(remaining - (total - progress));
        }

        @Override
        public void operationComplete(ChannelProgressiveFuture future) {
            accepted(remaining);
        }

        private void accepted(long bytes) {
            remaining -= bytes;
            unwrittenBytes -= bytes;
            progressNanos = nanoTime.getAsLong();
        }
    }
}
