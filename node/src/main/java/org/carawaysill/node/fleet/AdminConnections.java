package org.carawaysill.node.fleet;

import io.netty.channel.ChannelHandler.Sharable;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Bounds the connections to one admin address: a new one takes the place of the oldest.
 *
 * <p>Guards against connections that only occupy descriptors. Invariant: there are never more than the limit. Not thread
 * safe: confined to the event loop.
 */
@Sharable
final class AdminConnections extends ChannelInboundHandlerAdapter {

    private final int limit;
    private final Set<ChannelHandlerContext> open = new LinkedHashSet<>();

    AdminConnections(int limit) {
        this.limit = limit;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        if (open.size() >= limit) {
            ChannelHandlerContext oldest = open.iterator().next();
            open.remove(oldest);
            oldest.close();
        }
        open.add(context);
        context.fireChannelActive();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        open.remove(context);
        context.fireChannelInactive();
    }
}
