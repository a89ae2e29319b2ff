package org.carawaysill.protocol.link;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import org.carawaysill.protocol.codec.ProtocolFault;

/** Forwards a channel's events to its {@link PeerConnection}. Confined to the event loop thread. */
final class ConnectionHandler extends ChannelInboundHandlerAdapter {

    private final PeerConnection connection;

    ConnectionHandler(PeerConnection connection) {
        this.connection = connection;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        connection.start();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object received) {
        ByteBuf buffer = (ByteBuf) received;
        try {
            if (connection.isReading()) {
                connection.received(FrameBytes.read(buffer), buffer.readableBytes());
            }
        } catch (ProtocolFault fault) {
            connection.malformed(fault);
        } finally {
            buffer.release();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        connection.channelClosed();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        connection.end(LinkFaultKind.of(cause), String.valueOf(cause));
    }
}
