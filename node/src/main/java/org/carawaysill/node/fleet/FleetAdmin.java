package org.carawaysill.node.fleet;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.carawaysill.kernel.service.Service;
import org.carawaysill.kernel.service.ServiceRegistry;
import org.carawaysill.model.error.CarawaysillException;
import org.carawaysill.model.identity.NetworkAddress;
import org.carawaysill.model.request.Step;
import org.carawaysill.node.memory.MemoryFaults;
import org.carawaysill.node.observation.Counters;

/**
 * The HTTP servers for readiness and metrics. They use the same HTTP codec as the request path, so that no further
 * classes need loading.
 *
 * <p>The methods of {@link Service} are thread safe; everything else is confined to the event loop.
 */
public final class FleetAdmin implements Service {

    /** The name under which the service is registered. */
    public static final String NAME = "admin";

    private static final String METRICS_PATH = "/metrics";
    private static final int MAXIMUM_REQUEST_BYTES = 4096;

    private final EventLoop eventLoop;
    private final Set<NetworkAddress> addresses = new LinkedHashSet<>();
    private final List<Channel> servers = new ArrayList<>();
    private final Counters counters;
    private final MemoryFaults memoryFaults;
    private final String readyPath;
    private final int maximumConnections;
    private boolean ready;

    FleetAdmin(EventLoop eventLoop, FleetNodeSettings settings, String readyPath, ServiceRegistry registry) {
        this.eventLoop = eventLoop;
        this.readyPath = readyPath;
        addresses.add(settings.admin());
        addresses.add(settings.metrics());
        maximumConnections = DescriptorShares.of(settings.descriptors()).admin();
        counters = registry.require(Counters.NAME, Counters.class);
        memoryFaults = registry.require(MemoryFaults.NAME, MemoryFaults.class);
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public CompletableFuture<Void> start() {
        return CompletableFuture.allOf(addresses.stream().map(this::listen).toArray(CompletableFuture[]::new));
    }

    private CompletableFuture<Void> listen(NetworkAddress address) {
        CompletableFuture<Void> listening = new CompletableFuture<>();
        AdminConnections connections = new AdminConnections(maximumConnections);
        new ServerBootstrap()
                .group(eventLoop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline()
                                .addLast(connections)
                                .addLast(new HttpServerCodec(
                                        MAXIMUM_REQUEST_BYTES, MAXIMUM_REQUEST_BYTES, MAXIMUM_REQUEST_BYTES))
                                .addLast(new HttpObjectAggregator(MAXIMUM_REQUEST_BYTES))
                                .addLast(new RequestHandler());
                    }
                })
                .bind(address.host(), address.port())
                .addListener((ChannelFuture bound) -> {
                    if (bound.isSuccess()) {
                        servers.add(bound.channel());
                        listening.complete(null);
                    } else {
                        listening.completeExceptionally(new CarawaysillException(
                                Step.INGRESS,
                                Optional.empty(),
                                "can't listen at " + address + " for admin",
                                bound.cause()));
                    }
                });
        return listening;
    }

    @Override
    public CompletableFuture<Void> stop() {
        return CompletableFuture.runAsync(() -> servers.forEach(Channel::close), eventLoop);
    }

    /** Sets whether the node is reported as ready for clients. */
    void setReady(boolean nowReady) {
        ready = nowReady;
    }

    private FullHttpResponse answer(String path) {
        if (path.equals(readyPath)) {
            return response(ready ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE, new byte[0]);
        }
        if (path.equals(METRICS_PATH)) {
            FullHttpResponse page = response(HttpResponseStatus.OK, metrics());
            page.headers().set(HttpHeaderNames.CONTENT_TYPE, PrometheusTextFormatWriter.CONTENT_TYPE);
            return page;
        }
        return response(HttpResponseStatus.NOT_FOUND, new byte[0]);
    }

    private static FullHttpResponse response(HttpResponseStatus status, byte[] body) {
        FullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body));
        HttpUtil.setContentLength(response, body.length);
        return response;
    }

    private byte[] metrics() {
        ByteArrayOutputStream page = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.create().write(page, counters.registry().scrape());
        } catch (IOException impossibleInMemory) {
            throw new UncheckedIOException(impossibleInMemory);
        }
        return page.toByteArray();
    }

    /** Answers the requests of one connection. Not thread safe: confined to the event loop. */
    private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            boolean keepAlive = HttpUtil.isKeepAlive(request);
            FullHttpResponse response = answer(request.uri());
            HttpUtil.setKeepAlive(response, keepAlive);
            ChannelFuture written = context.writeAndFlush(response);
            if (!keepAlive) {
                written.addListener(ChannelFutureListener.CLOSE);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            memoryFaults.check(cause);
            context.close();
        }
    }
}
