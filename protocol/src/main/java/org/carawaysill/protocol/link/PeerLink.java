package org.carawaysill.protocol.link;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.random.RandomGenerator;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.model.request.UnwrittenAnswers;
import org.carawaysill.policy.message.PeerMessage;

/**
 * Manages this node's connections to other nodes on one event loop thread: its own, or one that it shares with its
 * owner.
 *
 * <p>Invariants: at most one connection to a peer carries messages at a time, whichever side dialled it, so that the
 * messages of one sending thread to a peer arrive in order, and between connected and lost without gaps up to the loss;
 * each message is written or reported as unsent. Thread safe; only {@link #close} blocks.
 */
public final class PeerLink implements AutoCloseable {

    private static final int CHECKS_PER_DRAIN_LIMIT = 4;
    private static final Duration STOP_LIMIT = Duration.ofSeconds(1);

    private final Optional<EventLoopGroup> ownGroup;
    private final EventLoop eventLoop;
    private final InetSocketAddress address;
    private final PeerTable table;
    private final Acceptor acceptor;
    private final Dialler dialler;
    private final SendRing ring;
    private final AtomicBoolean closing = new AtomicBoolean();

    private PeerLink(Builder builder) {
        LinkIdentity self = new LinkIdentity(
                required(builder.self, "name"), required(builder.service, "service"), builder.incarnation);
        ownGroup = builder.eventLoop.isPresent()
                ? Optional.empty()
                : Optional.of(new MultiThreadIoEventLoopGroup(
                        1, new DefaultThreadFactory("peer-link", true), NioIoHandler.newFactory()));
        eventLoop = builder.eventLoop.orElseGet(() -> ownGroup.orElseThrow().next());
        address = new InetSocketAddress(builder.host, builder.port);
        table = new PeerTable(self, builder.limits, required(builder.listener, "listener"), builder.random);
        acceptor = new Acceptor(eventLoop, table);
        dialler = new Dialler(eventLoop, table, builder.random);
        ring = new SendRing(table, eventLoop);
        table.onLost(dialler::lost);
    }

    private static <T> T required(Optional<T> value, String name) {
        return value.orElseThrow(() -> new IllegalStateException("the " + name + " of the peer link is not set"));
    }

    /**
     * Creates a builder for a link.
     *
     * @return a builder
     */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Listens for other nodes.
     *
     * @return the bound TCP port, or the failure to bind
     */
    public CompletableFuture<Integer> start() {
        long interval = table.limits().drainLimit().toNanos() / CHECKS_PER_DRAIN_LIMIT;
        eventLoop.scheduleAtFixedRate(table::checkDraining, interval, interval, TimeUnit.NANOSECONDS);
        return acceptor.bind(address);
    }

    /**
     * Maintains a connection to a peer: dials it at jittered intervals while there is none. One connection serves both
     * directions, whichever side dialled it.
     *
     * @param peer the other node
     * @param host its IP address
     * @param port its TCP port for nodes
     */
    public void connect(NodeName peer, String host, int port) {
        InetSocketAddress peerAddress = new InetSocketAddress(host, port);
        onEventLoop(() -> dialler.request(peer, peerAddress));
    }

    /**
     * Stops dialling a peer, and closes the connection to it once the messages sent before have been written. The peer
     * may dial again.
     *
     * @param peer the other node
     */
    public void disconnect(NodeName peer) {
        onEventLoop(() -> {
            dialler.cancel(peer);
            ring.drainFully();
            table.close(peer);
        });
    }

    /**
     * Drops the connection to a peer without a graceful close, and dials again if {@link #connect} was called for the
     * peer.
     *
     * @param peer the other node
     * @param reason the reason, for the fault report
     */
    public void reset(NodeName peer, String reason) {
        onEventLoop(() -> table.open(peer).ifPresent(connection -> connection.end(LinkFaultKind.UNRESPONSIVE, reason)));
    }

    /**
     * Sends a message; the messages of one thread are sent in the order of the calls. A message is reported as unsent
     * if there is no connection to the peer, if the ring is full, if too many bytes are already pending for the peer,
     * if the message exceeds the frame size limit, or if the connection is lost before any byte of it is passed to the
     * operating system.
     *
     * @param peer the other node
     * @param message the message
     */
    public void send(NodeName peer, PeerMessage message) {
        ring.offer(new OutgoingMessage(peer, message));
    }

    /**
     * Drops all traffic to and from some peers, for partition tests: connections to them stay open but carry nothing,
     * and messages sent to them are neither written nor reported as unsent.
     *
     * @param peers the blocked peers; replaces those set before
     */
    public void block(Set<NodeName> peers) {
        table.block(peers);
    }

    /**
     * Returns the answers that are not completely written to the operating system. Must be called on the event loop.
     *
     * @return the sum over all connections
     */
    public UnwrittenAnswers unwritten() {
        return table.unwritten();
    }

    /**
     * Returns the counters of this link.
     *
     * @return the live counters
     */
    public LinkCounters counters() {
        return table.counters();
    }

    /**
     * Writes the messages sent so far, closes all connections and stops the link's own event loop; waits for that at
     * most the closing limit plus one second. Must not be called by the listener, since it waits for the listener's
     * thread.
     */
    @Override
    public void close() {
        if (!closing.compareAndSet(false, true)) {
            return;
        }
        eventLoop.execute(this::closeConnections);
        long limit = table.limits().closingLimit().plus(STOP_LIMIT).toMillis();
        if (ownGroup.isEmpty() || ownGroup.get().terminationFuture().awaitUninterruptibly(limit)) {
            ring.stop();
        }
    }

    private void closeConnections() {
        acceptor.close();
        dialler.cancelAll();
        ring.drainFully();
        table.closeAll(() ->
                ownGroup.ifPresent(group -> group.shutdownGracefully(0, STOP_LIMIT.toMillis(), TimeUnit.MILLISECONDS)));
    }

    private void onEventLoop(Runnable task) {
        if (!closing.get()) {
            eventLoop.execute(task);
        }
    }

    /** Builds a link. Not thread safe. */
    public static final class Builder {

        private Optional<NodeName> self = Optional.empty();
        private Optional<ServiceName> service = Optional.empty();
        private Optional<PeerListener> listener = Optional.empty();
        private long incarnation;
        private String host = "127.0.0.1";
        private int port;
        private LinkLimits limits = LinkLimits.defaults();
        private RandomGenerator random = new SplittableRandom();
        private Optional<EventLoop> eventLoop = Optional.empty();

        private Builder() {}

        /**
         * Sets this node's name.
         *
         * @param name the name
         * @return this builder
         */
        public Builder self(NodeName name) {
            self = Optional.of(name);
            return this;
        }

        /**
         * Sets the service of this node's copy.
         *
         * @param name the service
         * @return this builder
         */
        public Builder service(ServiceName name) {
            service = Optional.of(name);
            return this;
        }

        /**
         * Sets the start time of this process.
         *
         * @param milliseconds milliseconds since 1970
         * @return this builder
         */
        public Builder incarnation(long milliseconds) {
            incarnation = milliseconds;
            return this;
        }

        /**
         * Sets the address to listen on.
         *
         * @param address the IP address
         * @return this builder
         */
        public Builder host(String address) {
            host = address;
            return this;
        }

        /**
         * Sets the TCP port to listen on.
         *
         * @param number the port, 0 for any free one
         * @return this builder
         */
        public Builder port(int number) {
            port = number;
            return this;
        }

        /**
         * Sets the limits.
         *
         * @param values the limits
         * @return this builder
         */
        public Builder limits(LinkLimits values) {
            limits = values;
            return this;
        }

        /**
         * Sets the random generator for jitter and connection identifiers, which only the event loop thread uses from
         * then on.
         *
         * @param generator the random generator
         * @return this builder
         */
        public Builder random(RandomGenerator generator) {
            random = generator;
            return this;
        }

        /**
         * Sets an event loop that the link shares with its owner, who must shut it down; by default the link creates
         * its own. Messages that the owner sends from that thread are written without waking another thread.
         *
         * @param shared the event loop
         * @return this builder
         */
        public Builder eventLoop(EventLoop shared) {
            eventLoop = Optional.of(shared);
            return this;
        }

        /**
         * Sets the listener for events.
         *
         * @param receiver the listener
         * @return this builder
         */
        public Builder listener(PeerListener receiver) {
            listener = Optional.of(receiver);
            return this;
        }

        /**
         * Builds the link, which does nothing before {@link PeerLink#start}.
         *
         * @return the link
         * @throws IllegalStateException if the name, the service or the listener is missing
         */
        public PeerLink build() {
            return new PeerLink(this);
        }
    }
}
