package org.carawaysill.protocol.link;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.util.concurrent.Future;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.policy.message.PeerMessage;
import org.carawaysill.protocol.codec.PeerMessageCodec;
import org.carawaysill.protocol.codec.ProtocolFault;
import org.carawaysill.protocol.generated.Frame;
import org.carawaysill.protocol.generated.Probe;
import org.carawaysill.protocol.generated.ProbeReply;

/**
 * One TCP connection to another node, from its greeting to its end.
 *
 * <p>Invariants: it carries messages only while open; it ends once, and then for good; a fault ends it and touches no
 * other connection. Confined to the event loop thread.
 */
final class PeerConnection {

    private static final Frame PROBE =
            Frame.newBuilder().setProbe(Probe.getDefaultInstance()).build();
    private static final Frame PROBE_REPLY =
            Frame.newBuilder().setProbeReply(ProbeReply.getDefaultInstance()).build();

    private enum State {
        GREETING,
        GREETED,
        OPEN,
        CLOSING,
        ENDED
    }

    private final Channel channel;
    private final PeerTable table;
    private final Optional<NodeName> dialled;
    private final OutboundFrames outbound;
    private State state = State.GREETING;
    private Optional<LinkIdentity> peer = Optional.empty();
    private Optional<Future<?>> greetingTimer = Optional.empty();
    private Optional<Future<?>> probeTimer = Optional.empty();

    /**
     * Handles a channel.
     *
     * @param channel the channel
     * @param table the connections of this node
     * @param dialled the peer that this node dialled; empty if the other side dialled
     */
    PeerConnection(Channel channel, PeerTable table, Optional<NodeName> dialled) {
        this.channel = channel;
        this.table = table;
        this.dialled = dialled;
        outbound = new OutboundFrames(channel, table.counters());
    }

    /** Sets the channel's handlers up. */
    void install() {
        channel.pipeline().addLast(FrameBytes.decoder(Greeting.MAXIMUM_BYTES)).addLast(new ConnectionHandler(this));
    }

    /** Gives the peer, which is known once it has greeted. */
    Optional<LinkIdentity> peer() {
        return peer;
    }

    /** Tells whether the peer is, or was dialled as, the named one. */
    boolean isWith(NodeName name) {
        return name().filter(name::equals).isPresent();
    }

    private Optional<NodeName> name() {
        return peer.map(LinkIdentity::name).or(() -> dialled);
    }

    /** Starts the greeting. */
    void began() {
        table.began(this);
        // Guards against a half-open connection, whose other side never greets: it would hold a socket for ever.
        greetingTimer = Optional.of(after(table.limits().greetingLimit(), this::greetingOverdue));
        if (dialled.isPresent() && !isBlocked()) {
            writeAndFlush(Greeting.hello(table.self(), table.randomLong()));
        }
    }

    private void greetingOverdue() {
        end(LinkFaultKind.NO_HELLO, "no greeting in " + table.limits().greetingLimit());
    }

    /** Tells whether a frame that arrives is looked at: not behind the fault that ended the connection. */
    boolean isReading() {
        return state != State.ENDED;
    }

    void received(Frame frame, int bytes) throws ProtocolFault {
        if (isBlocked()) {
            table.counters().blocked();
            return;
        }
        table.counters().received(TrafficKind.of(frame), bytes);
        if (state == State.GREETING) {
            greeted(frame);
        } else if (state == State.GREETED) {
            answered(frame);
        } else {
            handle(frame);
        }
    }

    void malformed(ProtocolFault fault) {
        end(state == State.GREETING ? LinkFaultKind.WRONG_MAGIC : LinkFaultKind.MALFORMED, fault.getMessage());
    }

    private boolean isBlocked() {
        return name().filter(table::isBlocked).isPresent();
    }

    private void greeted(Frame frame) {
        switch (Greeting.check(frame, table.self(), dialled)) {
            case Greeting.Result.Faulty faulty -> refuse(faulty.kind(), faulty.detail());
            case Greeting.Result.Greeted greeted
            when table.isBlocked(greeted.peer().name()) -> {
                // Dropped like all traffic of a blocked peer: the greeting runs into its limit.
            }
            case Greeting.Result.Greeted greeted -> greetBack(greeted);
        }
    }

    private void greetBack(Greeting.Result.Greeted greeted) {
        peer = Optional.of(greeted.peer());
        if (!mayOpen()) {
            return;
        }
        state = State.GREETED;
        if (dialled.isEmpty()) {
            outbound.write(Greeting.hello(table.self(), greeted.connection()));
        }
        if (table.self().choosesAgainst(greeted.peer())) {
            outbound.write(Greeting.ACCEPTED);
            open();
        }
        channel.flush();
        admitLargeFrames();
    }

    /** Comes last in the greeting, since the bytes already received go through the new decoder at once. */
    private void admitLargeFrames() {
        channel.pipeline()
                .replace(
                        LengthFieldBasedFrameDecoder.class,
                        "frames",
                        FrameBytes.decoder(table.limits().maximumFrameBytes()));
    }

    private void answered(Frame frame) throws ProtocolFault {
        switch (frame.getKindCase()) {
            case ACCEPTED -> {
                if (mayOpen()) {
                    open();
                }
            }
            case REFUSED ->
                end(LinkFaultKind.REFUSED_BY_PEER, frame.getRefused().getReason());
            default -> throw unexpected(frame);
        }
    }

    private boolean mayOpen() {
        LinkIdentity greeted = peer.orElseThrow();
        Optional<LinkFaultKind> objection = table.objection(greeted);
        objection.ifPresent(kind -> refuse(kind, "incarnation " + greeted.incarnation()));
        return objection.isEmpty();
    }

    private void open() {
        greetingTimer.ifPresent(timer -> timer.cancel(false));
        state = State.OPEN;
        table.opened(this, peer.orElseThrow());
    }

    private void handle(Frame frame) throws ProtocolFault {
        probeTimer.ifPresent(timer -> timer.cancel(false));
        probeTimer = Optional.empty();
        switch (frame.getKindCase()) {
            case PROBE -> writeAndFlush(PROBE_REPLY);
            case PROBE_REPLY -> {
                // That it arrived is all that it says.
            }
            case REFUSED ->
                end(LinkFaultKind.REFUSED_BY_PEER, frame.getRefused().getReason());
            default -> table.received(peer.orElseThrow().name(), PeerMessageCodec.decode(frame));
        }
    }

    private static ProtocolFault unexpected(Frame frame) {
        return new ProtocolFault(
                ProtocolFault.Kind.UNEXPECTED_FRAME, frame.getKindCase().name());
    }

    /**
     * Writes a message without flushing.
     *
     * @return whether it was taken; if not, nothing of it was written
     */
    boolean send(PeerMessage message) {
        Frame frame = PeerMessageCodec.encode(message);
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
     * <p>Guards against a frozen peer, or one on a dead path: its connection stays up, the operating system's buffers
     * fill, and messages pile up here, to be delivered long after their deadlines. It shows as a frame that waits to be
     * written; a busy peer that reads lets each frame go soon, however many follow.
     */
    void checkDraining(long now) {
        long waited = outbound.oldestWaitNanos(now);
        if (waited > table.limits().drainLimit().toNanos()) {
            end(LinkFaultKind.SLOW_READER, "a frame waited " + Duration.ofNanos(waited));
        }
    }

    /**
     * Asks the peer for a sign of life, and ends the connection if none comes.
     *
     * <p>Guards against a connection that the other side has lost while this one has not noticed, as after a partition:
     * every new connection would be refused as a duplicate until the operating system gives up, which takes minutes.
     */
    void probe() {
        if (probeTimer.isPresent() || state != State.OPEN) {
            return;
        }
        probeTimer = Optional.of(after(table.limits().probeLimit(), this::probeOverdue));
        if (!isBlocked()) {
            writeAndFlush(PROBE);
        }
    }

    private void probeOverdue() {
        end(
                LinkFaultKind.UNRESPONSIVE,
                "no reply to a probe in " + table.limits().probeLimit());
    }

    /**
     * Closes in order: writes what was sent, then says that no more comes, and goes on reading until the other side
     * closes. Closing with unread input would make the operating system reset the connection, and the other side could
     * lose what was already written to it.
     */
    void closeInOrder() {
        if (state != State.OPEN) {
            end(Optional.empty());
            return;
        }
        state = State.CLOSING;
        after(table.limits().closingLimit(), () -> end(Optional.empty()));
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(written -> ((SocketChannel) channel).shutdownOutput());
    }

    private void refuse(LinkFaultKind kind, String detail) {
        if (kind != LinkFaultKind.REFUSED_BY_PEER) {
            writeAndFlush(Greeting.refused(kind));
        }
        end(kind, detail);
    }

    void end(LinkFaultKind kind, String detail) {
        end(Optional.of(fault(kind, detail)));
    }

    private void end(Optional<LinkFault> fault) {
        if (state == State.ENDED) {
            return;
        }
        state = State.ENDED;
        greetingTimer.ifPresent(timer -> timer.cancel(false));
        // Closed before the frames are looked at: from here on no byte can be written behind the report.
        channel.close();
        List<PeerMessage> unsent = outbound.untouched();
        fault.ifPresent(table::fault);
        table.ended(this, unsent);
    }

    private LinkFault fault(LinkFaultKind kind, String detail) {
        return new LinkFault(kind, name(), channel.remoteAddress() + ": " + detail);
    }

    /** Ends with the channel. */
    void cutOff() {
        boolean greetingCutOff = dialled.isPresent() && (state == State.GREETING || state == State.GREETED);
        end(greetingCutOff ? Optional.of(fault(LinkFaultKind.BROKEN, "closed during the greeting")) : Optional.empty());
    }

    private void writeAndFlush(Frame frame) {
        outbound.write(frame);
        channel.flush();
    }

    private Future<?> after(Duration delay, Runnable task) {
        return channel.eventLoop().schedule(task, delay.toNanos(), TimeUnit.NANOSECONDS);
    }
}
