package org.carawaysill.protocol.link;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.WriteBufferWaterMark;

/**
 * The options of the sockets between nodes.
 *
 * <p>Bounded buffers keep what lies in the operating system small: it can't be taken back, so after a loss each message
 * there counts as possibly arrived. Immutable and thread safe.
 *
 * @param bufferBytes the size asked for the operating system's buffers
 * @param waterMark the bytes waiting in this process above which a connection takes no more
 */
record SocketOptions(int bufferBytes, WriteBufferWaterMark waterMark) {

    static SocketOptions of(LinkLimits limits) {
        int high = limits.highWaterMarkBytes();
        return new SocketOptions(limits.socketBufferBytes(), new WriteBufferWaterMark(high / 2, high));
    }

    void applyTo(Bootstrap bootstrap) {
        bootstrap
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.SO_SNDBUF, bufferBytes)
                .option(ChannelOption.SO_RCVBUF, bufferBytes)
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, waterMark);
    }

    void applyTo(ServerBootstrap bootstrap) {
        bootstrap
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_RCVBUF, bufferBytes)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.SO_SNDBUF, bufferBytes)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, waterMark);
    }
}
