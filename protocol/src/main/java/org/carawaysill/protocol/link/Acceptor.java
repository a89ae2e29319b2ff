package org.carawaysill.protocol.link;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.ServerSocketChannel;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Accepts connections from other nodes. Confined to the event loop thread, except for {@link #bind}. */
final class Acceptor {

    private final ServerBootstrap bootstrap;
    private Optional<Channel> server = Optional.empty();

    Acceptor(EventLoop eventLoop, PeerTable table) {
        bootstrap = new ServerBootstrap()
                .group(eventLoop)
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        new PeerConnection(channel, table, Optional.empty()).install();
                    }
                });
        SocketOptions.of(table.limits()).applyTo(bootstrap);
    }

    CompletableFuture<Integer> bind(InetSocketAddress address) {
        CompletableFuture<Integer> port = new CompletableFuture<>();
        ChannelFuture binding = bootstrap.bind(address);
        binding.addListener(_ -> bound(binding, port));
        return port;
    }

    private void bound(ChannelFuture binding, CompletableFuture<Integer> port) {
        if (!binding.isSuccess()) {
            port.completeExceptionally(binding.cause());
            return;
        }
        server = Optional.of(binding.channel());
        port.complete(((ServerSocketChannel) binding.channel()).localAddress().getPort());
    }

    void close() {
        server.ifPresent(Channel::close);
    }
}
