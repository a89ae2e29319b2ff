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
import org.carawaysill.model.request.UnwrittenAnswers;

/**
 * What the client of a connection has not read: answers that are not written, and their bytes from the encoder until the
 * operating system has accepted them.
 *
 * <p>Netty reports the progress of a buffer also while only a part of it is written, so that a client that reads a large
 * answer slowly can be told from one that has stopped reading. Invariant: no byte is left once the connection has ended.
 * Not thread safe: confined to the event loop.
 */
final class ConnectionOutput extends ChannelOutboundHandlerAdapter {

    private final LongSupplier nanoTime;
    private Runnable onProgress = () -> {};
    private int answers;
    private long bytes;
    private long progressNanos;
    private boolean lastAnswerWritten;

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
        int size = ((ByteBuf) message).readableBytes();
        if (bytes == 0) {
            progressNanos = nanoTime.getAsLong();
        }
        bytes += size;
        ChannelProgressivePromise written = context.newProgressivePromise();
        written.addListener(new PendingBuffer(size));
        PromiseNotifier.cascade(written, promise);
        context.write(message, written);
    }

    /** Sets what is run whenever the operating system has accepted bytes. */
    void onProgress(Runnable action) {
        onProgress = action;
    }

    /** Returns the bytes that the operating system has not accepted. */
    long bytes() {
        return bytes;
    }

    /** Notes that an answer is handed over. */
    void answerBegins() {
        answers++;
    }

    /**
     * Notes that an answer is written, or that the connection has ended before.
     *
     * @param last whether no further answer follows, so that the client closes the connection once it has read it
     */
    void answerEnded(boolean last) {
        answers--;
        lastAnswerWritten |= last;
    }

    /** Returns whether the last answer is written, and the client has not closed the connection yet. */
    boolean isLastAnswerWritten() {
        return lastAnswerWritten;
    }

    /** Returns whether answers are not completely written. */
    boolean isWriting() {
        return answers > 0;
    }

    /**
     * Returns whether the client may still read answers: some are not written, or it has not closed the connection after
     * the last one, so that the operating system may hold some of them.
     */
    boolean isDelivering() {
        return isWriting() || lastAnswerWritten;
    }

    /** Returns the answers that the client has not read yet, as far as this node can know. */
    UnwrittenAnswers unwritten() {
        return isDelivering() ? new UnwrittenAnswers(1, answers, bytes) : UnwrittenAnswers.NONE;
    }

    /** Returns when the operating system last accepted bytes, or when bytes began to wait if it has accepted none since. */
    long progressNanos() {
        return progressNanos;
    }

    /** The bytes of one buffer that are not written yet. */
    private final class PendingBuffer implements ChannelProgressiveFutureListener {

        private long remaining;

        PendingBuffer(int size) {
            remaining = size;
        }

        @Override
        public void operationProgressed(ChannelProgressiveFuture future, long progress, long total) {
            accepted(remaining - (total - progress));
        }

        @Override
        public void operationComplete(ChannelProgressiveFuture future) {
            accepted(remaining);
        }

        private void accepted(long count) {
            remaining -= count;
            bytes -= count;
            progressNanos = nanoTime.getAsLong();
            onProgress.run();
        }
    }
}
