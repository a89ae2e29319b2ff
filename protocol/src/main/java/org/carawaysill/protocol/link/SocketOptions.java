package org.carawaysill.protocol.link;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.WriteBufferWaterMark;

/**
 * The options of the sockets between nodes.
 *
 * <p>Bounded socket buffers limit how much data the operating system holds: that data can't be recalled, so after a
 * lost connection each message in it counts as possibly delivered. Immutable and thread safe.
 *
 * @param bufferBytes the requested size of the operating system's socket buffers
 * @param waterMark the number of bytes pending in this process above which a connection accepts no more messages
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
