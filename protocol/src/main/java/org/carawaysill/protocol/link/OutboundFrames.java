package org.carawaysill.protocol.link;

import io.netty.channel.Channel;
import io.netty.channel.ChannelProgressiveFuture;
import io.netty.channel.ChannelProgressiveFutureListener;
import io.netty.channel.ChannelProgressivePromise;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Optional;
import org.carawaysill.policy.message.PeerMessage;
import org.carawaysill.protocol.generated.Frame;

/**
 * The frames of one connection that the operating system has not taken whole.
 *
 * <p>When the connection ends, the node must know of each message whether it may have arrived: only a message of which
 * no byte left this process may be reported as unsent, since a request that is reported so is told to its caller as "not
 * run". Netty reports the progress of each buffer before it drops it, so a frame that is still untouched here was never
 * given to the operating system. Invariant: in the order of writing. Confined to the event loop thread.
 */
final class OutboundFrames {

    private final Channel channel;
    private final LinkCounters counters;
    private final ArrayDeque<Waiting> frames = new ArrayDeque<>();

    OutboundFrames(Channel channel, LinkCounters counters) {
        this.channel = channel;
        this.counters = counters;
    }

    /** Writes a frame of the link itself without flushing. */
    void write(Frame frame) {
        write(frame, frame.getSerializedSize(), Optional.empty());
    }

    /** Writes a message's frame without flushing. */
    void write(Frame frame, int size, PeerMessage message) {
        write(frame, size, Optional.of(message));
    }

    private void write(Frame frame, int size, Optional<PeerMessage> message) {
        Waiting waiting = new Waiting(message, System.nanoTime());
        frames.add(waiting);
        ChannelProgressivePromise promise = channel.newProgressivePromise();
        promise.addListener(waiting);
        counters.sent(TrafficKind.of(frame), size);
        channel.write(FrameBytes.write(channel.alloc(), frame, size), promise);
    }

    /** Tells whether fewer bytes wait than the high-water mark; writes what can be written first if need be. */
    boolean hasRoom() {
        if (!channel.isWritable()) {
            channel.flush();
        }
        return channel.isWritable();
    }

    /** Tells how long the oldest frame has waited, 0 if none does. */
    long oldestWaitNanos(long now) {
        dropWritten();
        Waiting oldest = frames.peek();
        return oldest == null ? 0 : now - oldest.since;
    }

    /** Gives the messages of which no byte was given to the operating system. */
    List<PeerMessage> untouched() {
        return frames.stream()
                .filter(frame -> !frame.touched)
                .flatMap(frame -> frame.message.stream())
                .toList();
    }

    private void dropWritten() {
        while (!frames.isEmpty() && frames.peek().written) {
            frames.remove();
        }
    }

    private final class Waiting implements ChannelProgressiveFutureListener {

        private final Optional<PeerMessage> message;
        private final long since;
        private boolean touched;
        private boolean written;

        Waiting(Optional<PeerMessage> message, long since) {
            this.message = message;
            this.since = since;
        }

        @Override
        public void operationProgressed(ChannelProgressiveFuture future, long progress, long total) {
            touched = true;
        }

        @Override
        public void operationComplete(ChannelProgressiveFuture future) {
            if (future.isSuccess()) {
                touched = true;
                written = true;
                dropWritten();
            }
        }
    }
}
