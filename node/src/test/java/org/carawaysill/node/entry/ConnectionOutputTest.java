package org.carawaysill.node.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.carawaysill.node.testing.LoopBench;
import org.carawaysill.node.testing.RawConnection;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
class ConnectionOutputTest {

    /** More than the buffers of the operating system take. */
    private static final int BYTES = 12_000_000;

    private static final int READ_BYTES = 6_000_000;

    private final LoopBench bench = new LoopBench();
    private final AtomicLong clock = new AtomicLong(1);
    private final ConnectionOutput output = new ConnectionOutput(clock::get);
    private RawConnection client;

    private long bytesLeft() {
        return output.unwritten().bytes();
    }

    @BeforeEach
    void writeOneAnswer() {
        CompletableFuture<Channel> accepted = new CompletableFuture<>();
        Channel server = new ServerBootstrap()
                .group(bench.eventLoop())
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(output);
                        accepted.complete(channel);
                    }
                })
                .bind("127.0.0.1", 0)
                .syncUninterruptibly()
                .channel();
        client = RawConnection.to(((InetSocketAddress) server.localAddress()).getPort());
        Channel channel = accepted.join();
        bench.onLoop(() -> {
            output.answerBegins();
            channel.writeAndFlush(Unpooled.wrappedBuffer(new byte[BYTES])).addListener(_ -> output.answerEnded(false));
        });
        bench.awaitOnLoop(() -> bytesLeft() > 0);
    }

    @AfterEach
    void close() {
        client.close();
        bench.close();
    }

    @Nested
    class OneLargeBuffer {

        /** Guards against a client that reads one large answer steadily and is taken for one that reads nothing. */
        @Test
        void makesProgressWhileAPartOfItIsRead() {
            clock.set(2);
            client.readBytes(READ_BYTES);
            bench.awaitOnLoop(() -> output.progressNanos() == 2);
            assertTrue(bytesLeft() > 0);
        }

        @Test
        void makesNoProgressWhileNothingIsRead() {
            clock.set(2);
            bench.onLoop(() -> assertEquals(1, output.progressNanos()));
        }

        /** Guards against bytes that count as unwritten after the end of their connection. */
        @Test
        void isNotCountedAfterTheEndOfTheConnection() {
            client.reset();
            bench.awaitOnLoop(() -> output.unwritten().isEmpty());
        }
    }
}
