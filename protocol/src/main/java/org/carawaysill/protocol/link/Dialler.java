package org.carawaysill.protocol.link;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.carawaysill.model.identity.NodeName;

/**
 * Dials the peers to which a connection is requested, while there is none.
 *
 * <p>Invariant: at most one dial or one redial timer per peer at a time. The delay doubles with each consecutive
 * failure, up to a limit, and is drawn at random from its upper half, so that the peers of a restarted node don't all
 * dial it at once. Confined to the event loop thread.
 */
final class Dialler {

    private static final int MAXIMUM_DOUBLINGS = 16;

    private final EventLoop eventLoop;
    private final Bootstrap bootstrap;
    private final PeerTable table;
    private final RandomGenerator random;
    private final Map<NodeName, Target> targets = new HashMap<>();

    Dialler(EventLoop eventLoop, PeerTable table, RandomGenerator random) {
        this.eventLoop = eventLoop;
        this.table = table;
        this.random = random;
        bootstrap = new Bootstrap()
                .group(eventLoop)
                .channel(NioSocketChannel.class)
                .option(
                        ChannelOption.CONNECT_TIMEOUT_MILLIS,
                        Math.toIntExact(table.limits().connectLimit().toMillis()));
        SocketOptions.of(table.limits()).applyTo(bootstrap);
    }

    void request(NodeName peer, InetSocketAddress address) {
        Target known = targets.get(peer);
        if (known != null && known.address.equals(address)) {
            return;
        }
        Target target = new Target(peer, address);
        targets.put(peer, target);
        if (table.open(peer).isEmpty()) {
            dial(target);
        }
    }

    void cancel(NodeName peer) {
        targets.remove(peer);
    }

    void cancelAll() {
        targets.clear();
    }

    /** Dials a peer again after a delay, if a connection to it is still requested. */
    void lost(NodeName peer) {
        Target target = targets.get(peer);
        if (target != null) {
            dialLater(target);
        }
    }

    private void dialLater(Target target) {
        if (target.dialPending || !isRequested(target)) {
            return;
        }
        target.dialPending = true;
        long delay = nextDelayNanos(target);
        eventLoop.schedule(() -> dialNow(target), delay, TimeUnit.NANOSECONDS);
    }

    private void dialNow(Target target) {
        target.dialPending = false;
        if (isRequested(target) && table.open(target.peer).isEmpty()) {
            dial(target);
        }
    }

    private void dial(Target target) {
        target.dialPending = true;
        ChannelFuture dialling =
                bootstrap.clone().handler(initializer(target.peer)).connect(target.address);
        // Runs on the event loop, since a failure to create the socket is reported on another thread.
        dialling.addListener(_ -> eventLoop.execute(() -> dialled(target, dialling)));
    }

    private void dialled(Target target, ChannelFuture dialling) {
        if (!dialling.isSuccess()) {
            String detail = target.address + ": " + dialling.cause();
            table.fault(new LinkFault(LinkFaultKind.UNREACHABLE, Optional.of(target.peer), detail));
            ended(target);
            return;
        }
        dialling.channel().closeFuture().addListener(_ -> ended(target));
        if (!isRequested(target)) {
            dialling.channel().close();
        }
    }

    private void ended(Target target) {
        target.dialPending = false;
        if (table.open(target.peer).isEmpty()) {
            dialLater(target);
        }
    }

    private ChannelInitializer<SocketChannel> initializer(NodeName peer) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                new PeerConnection(channel, table, Optional.of(peer)).install();
            }
        };
    }

    private boolean isRequested(Target target) {
        return targets.get(target.peer) == target;
    }

    /** Draws the next delay; the failure count restarts for a peer that was connected for a long time. */
    private long nextDelayNanos(Target target) {
        long now = System.nanoTime();
        long longest = table.limits().longestRedial().toNanos();
        if (now - target.lastDelayAt > 2 * longest) {
            target.failures = 0;
        }
        target.lastDelayAt = now;
        int doublings = Math.min(target.failures++, MAXIMUM_DOUBLINGS);
        long delay = Math.min(table.limits().shortestRedial().toNanos() << doublings, longest);
        return delay / 2 + random.nextLong(delay / 2 + 1);
    }

    private static final class Target {

        private final NodeName peer;
        private final InetSocketAddress address;
        private boolean dialPending;
        private int failures;
        private long lastDelayAt = System.nanoTime();

        Target(NodeName peer, InetSocketAddress address) {
            this.peer = peer;
            this.address = address;
        }
    }
}
