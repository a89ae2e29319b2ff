package org.carawaysill.protocol.link;

import io.netty.channel.Channel;
import io.netty.channel.ChannelProgressiveFuture;
import io.netty.channel.ChannelProgressiveFutureListener;
import io.netty.channel.ChannelProgressivePromise;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Optional;
import org.carawaysill.model.request.UnwrittenAnswers;
import org.carawaysill.policy.message.PeerMessage;
import org.carawaysill.protocol.generated.Frame;

/**
 * The frames of one connection that have not been completely written to the operating system.
 *
 * <p>When the connection ends, the node must know for each message whether it may have arrived. Only a message of which
 * no byte left this process may be reported as unsent, since a request reported as unsent is answered to its caller as
 * "not run". Netty reports the progress of each buffer before it releases it, so a frame without progress was never
 * passed to the operating system. Invariant: the frames are in the order of writing. Confined to the event loop thread.
 */
final class OutboundFrames {

    private final Channel channel;
    private final LinkCounters counters;
    private final ArrayDeque<PendingFrame> frames = new ArrayDeque<>();

    OutboundFrames(Channel channel, LinkCounters counters) {
        this.channel = channel;
        this.counters = counters;
    }

    /** Writes a frame of the link itself without flushing. */
    void write(Frame frame) {
        write(frame, frame.getSerializedSize(), Optional.empty());
    }

    /** Writes the frame of a message without flushing. */
    void write(Frame frame, int size, PeerMessage message) {
        write(frame, size, Optional.of(message));
    }

    private void write(Frame frame, int size, Optional<PeerMessage> message) {
        PendingFrame pending = new PendingFrame(message, size, System.nanoTime());
        frames.add(pending);
        ChannelProgressivePromise promise = channel.newProgressivePromise();
        promise.addListener(pending);
        counters.countSent(TrafficKind.of(frame), size);
        channel.write(FrameBytes.write(channel.alloc(), frame, size), promise);
    }

    /** Returns whether fewer bytes are pending than the high-water mark; flushes first if necessary. */
    boolean hasRoom() {
        if (!channel.isWritable()) {
            channel.flush();
        }
        return channel.isWritable();
    }

    /** Returns how long the oldest frame has been pending, or 0 if there is none. */
    long oldestWaitNanos(long now) {
        dropWritten();
        PendingFrame oldest = frames.peek();
        return oldest == null ? 0 : now - oldest.since;
    }

    /** Returns the messages of which no byte was passed to the operating system. */
    List<PeerMessage> unsentMessages() {
        return frames.stream()
                .filter(frame -> !frame.progressed)
                .flatMap(frame -> frame.message.stream())
                .toList();
    }

    /** Returns the answers that are not completely written. */
    UnwrittenAnswers unwrittenAnswers() {
        List<PendingFrame> answers =
                frames.stream().filter(PendingFrame::isUnwrittenAnswer).toList();
        return answers.isEmpty()
                ? UnwrittenAnswers.NONE
                : new UnwrittenAnswers(
                        1,
                        answers.size(),
                        answers.stream().mapToLong(answer -> answer.remaining).sum());
    }

    private void dropWritten() {
        while (!frames.isEmpty() && frames.peek().written) {
            frames.remove();
        }
    }

    private final class PendingFrame implements ChannelProgressiveFutureListener {

        private final Optional<PeerMessage> message;
        private final long since;
        private long remaining;
        private boolean progressed;
        private boolean written;

        PendingFrame(Optional<PeerMessage> message, int size, long since) {
            this.message = message;
            this.since = since;
            remaining = size;
        }

        private boolean isUnwrittenAnswer() {
            return !written && message.orElse(null) instanceof PeerMessage.CopyAnswer;
        }

        @Override
        public void operationProgressed(ChannelProgressiveFuture future, long progress, long total) {
            progressed = true;
            remaining = total - progress;
        }

        @Override
        public void operationComplete(ChannelProgressiveFuture future) {
            if (future.isSuccess()) {
                progressed = true;
                written = true;
                dropWritten();
            }
        }
    }
}
