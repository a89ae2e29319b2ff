package org.carawaysill.protocol.link;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.request.UnwrittenAnswers;
import org.carawaysill.policy.message.PeerMessage;
import org.carawaysill.protocol.codec.PeerMessageCodec;
import org.carawaysill.protocol.codec.ProtocolFault;
import org.carawaysill.protocol.generated.Frame;

/**
 * One TCP connection to another node, from its handshake to its end.
 *
 * <p>Invariants: it carries messages only while open; it ends exactly once; a fault ends it and affects no other
 * connection. Confined to the event loop thread.
 */
final class PeerConnection {

    private enum State {
        HANDSHAKE,
        OPEN,
        CLOSING,
        ENDED
    }

    private final Channel channel;
    private final PeerTable table;
    private final Optional<NodeName> dialled;
    private final Handshake handshake;
    private final OutboundFrames outbound;
    private final Deadline handshakeDeadline;
    private final Deadline probeDeadline;
    private final Deadline closingDeadline;
    private State state = State.HANDSHAKE;
    private String address = "";

    /**
     * Creates a connection on a channel.
     *
     * @param channel the channel
     * @param table the connections of this node
     * @param dialled the peer that this node dialled; empty if the other side dialled
     */
    PeerConnection(Channel channel, PeerTable table, Optional<NodeName> dialled) {
        this.channel = channel;
        this.table = table;
        this.dialled = dialled;
        handshake = new Handshake(this, table, dialled);
        outbound = new OutboundFrames(channel, table.counters());
        LinkLimits limits = table.limits();
        handshakeDeadline = new Deadline(channel.eventLoop(), limits.greetingLimit(), this::handshakeTimedOut);
        probeDeadline = new Deadline(channel.eventLoop(), limits.probeLimit(), this::probeTimedOut);
        closingDeadline = new Deadline(channel.eventLoop(), limits.closingLimit(), () -> end(Optional.empty()));
    }

    /** Installs the channel's handlers. */
    void install() {
        channel.pipeline()
                .addLast(FrameBytes.decoder(HelloValidator.MAXIMUM_BYTES))
                .addLast(new ConnectionHandler(this));
    }

    /** Returns the peer, which is known once its hello has been received. */
    Optional<LinkIdentity> peer() {
        return handshake.peer();
    }

    /** Returns whether the peer has, or was dialled by, this name. */
    boolean isConnectionTo(NodeName name) {
        return name().filter(name::equals).isPresent();
    }

    private Optional<NodeName> name() {
        return peer().map(LinkIdentity::name).or(() -> dialled);
    }

    /** Returns whether the other side dialled. */
    boolean isAccepted() {
        return dialled.isEmpty();
    }

    /** Starts the handshake. */
    void start() {
        // Stored, since a closed channel no longer has it.
        address = String.valueOf(channel.remoteAddress());
        table.add(this);
        // Guards against a half-open connection whose other side never sends a hello: it would occupy a socket for
        // ever.
        handshakeDeadline.start();
        if (!isBlocked()) {
            handshake.begin();
        }
    }

    private void handshakeTimedOut() {
        end(LinkFaultKind.NO_HELLO, "no hello within " + table.limits().greetingLimit());
    }

    /** Returns whether incoming frames are handled; frames that follow the end of the connection are not. */
    boolean isReading() {
        return state != State.ENDED;
    }

    void received(Frame frame, int bytes) throws ProtocolFault {
        if (isBlocked()) {
            table.counters().countBlocked();
            return;
        }
        table.counters().countReceived(TrafficKind.of(frame), bytes);
        if (state == State.HANDSHAKE) {
            handshake.received(frame);
        } else {
            handle(frame);
        }
    }

    void malformed(ProtocolFault fault) {
        end(peer().isEmpty() ? LinkFaultKind.WRONG_MAGIC : LinkFaultKind.MALFORMED, fault.getMessage());
    }

    private boolean isBlocked() {
        return name().filter(table::isBlocked).isPresent();
    }

    /** Opens the connection for messages. */
    void open(LinkIdentity peer) {
        handshakeDeadline.stop();
        table.identified(this);
        state = State.OPEN;
        table.opened(this, peer);
    }

    void raiseFrameLimit() {
        channel.pipeline()
                .replace(
                        LengthFieldBasedFrameDecoder.class,
                        "frames",
                        FrameBytes.decoder(table.limits().maximumFrameBytes()));
    }

    private void handle(Frame frame) throws ProtocolFault {
        probeDeadline.stop();
        switch (frame.getKindCase()) {
            case PROBE -> writeAndFlush(LinkFrames.PROBE_REPLY);
            case PROBE_REPLY -> {
                // Its arrival has already stopped the probe deadline.
            }
            case REFUSED ->
                end(LinkFaultKind.REFUSED_BY_PEER, frame.getRefused().getReason());
            default -> table.received(peer().orElseThrow().name(), PeerMessageCodec.decode(frame));
        }
    }

    /**
     * Writes a message without flushing.
     *
     * @return whether it was accepted; if not, no byte of it was written
     */
    boolean send(PeerMessage message) {
        Frame frame = table.encode(message);
        int size = frame.getSerializedSize();
        if (size > table.limits().maximumFrameBytes()) {
            table.fault(fault(LinkFaultKind.OVERSIZE, "a message of " + size + " bytes was not sent"));
            return false;
        }
        if (state != State.OPEN || !outbound.hasRoom()) {
            return false;
        }
        outbound.write(frame, size, message);
        return true;
    }

    void flush() {
        channel.flush();
    }

    /**
     * Ends the connection if its peer does not read.
     *
     * <p>Guards against a frozen peer, or one behind a broken network path: its connection stays up, the operating
     * system's buffers fill, and messages accumulate here, to be delivered long after their deadlines. The sign is a
     * frame that stays unwritten; with a busy peer that still reads, each frame is written soon, however many follow.
     */
    void checkDraining(long now) {
        long waited = outbound.oldestWaitNanos(now);
        if (waited > table.limits().drainLimit().toNanos()) {
            end(LinkFaultKind.SLOW_READER, "a frame waited " + Duration.ofNanos(waited));
        }
    }

    UnwrittenAnswers unwritten() {
        return outbound.unwrittenAnswers();
    }

    /**
     * Sends a probe to the peer, and ends the connection if no reply arrives in time.
     *
     * <p>Guards against a connection that the other side has lost while this side has not noticed, for example after a
     * partition: every new connection would be refused as a duplicate until the operating system gives up the old one,
     * which takes minutes.
     */
    void probe() {
        if (probeDeadline.isRunning() || state != State.OPEN) {
            return;
        }
        probeDeadline.start();
        if (!isBlocked()) {
            writeAndFlush(LinkFrames.PROBE);
        }
    }

    private void probeTimedOut() {
        end(
                LinkFaultKind.UNRESPONSIVE,
                "no reply to a probe within " + table.limits().probeLimit());
    }

    /**
     * Closes gracefully: flushes what was sent, shuts down the output, and continues to read until the other side
     * closes. Closing with unread input would make the operating system reset the connection, and the other side could
     * lose data already written to it.
     */
    void closeGracefully() {
        if (state == State.CLOSING) {
            return;
        }
        if (state != State.OPEN) {
            end(Optional.empty());
            return;
        }
        state = State.CLOSING;
        closingDeadline.start();
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(written -> ((SocketChannel) channel).shutdownOutput());
    }

    void end(LinkFaultKind kind, String detail) {
        end(Optional.of(fault(kind, detail)));
    }

    private void end(Optional<LinkFault> fault) {
        if (state == State.ENDED) {
            return;
        }
        state = State.ENDED;
        handshakeDeadline.stop();
        probeDeadline.stop();
        closingDeadline.stop();
        // Closed before the pending frames are examined, so that no byte can be written after they are reported as
        // unsent.
        channel.close();
        List<PeerMessage> unsent = outbound.unsentMessages();
        fault.ifPresent(table::fault);
        table.ended(this, unsent);
    }

    private LinkFault fault(LinkFaultKind kind, String detail) {
        return new LinkFault(kind, name(), address + ": " + detail);
    }

    /** Ends the connection because its channel was closed. */
    void channelClosed() {
        boolean handshakeInterrupted = dialled.isPresent() && state == State.HANDSHAKE;
        end(
                handshakeInterrupted
                        ? Optional.of(fault(LinkFaultKind.BROKEN, "closed during the handshake"))
                        : Optional.empty());
    }

    void write(Frame frame) {
        outbound.write(frame);
    }

    void writeAndFlush(Frame frame) {
        outbound.write(frame);
        channel.flush();
    }
}
