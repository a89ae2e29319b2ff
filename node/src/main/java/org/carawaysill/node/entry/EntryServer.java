package org.carawaysill.node.entry;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.carawaysill.kernel.service.Service;
import org.carawaysill.kernel.service.ServiceRegistry;
import org.carawaysill.model.error.CarawaysillException;
import org.carawaysill.model.fleet.ClientLimits;
import org.carawaysill.model.identity.ExchangeIdentifier;
import org.carawaysill.model.identity.NetworkAddress;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.model.request.Step;
import org.carawaysill.model.request.UnwrittenAnswers;
import org.carawaysill.node.fleet.DecisionLog;
import org.carawaysill.node.memory.MemoryAccount;
import org.carawaysill.node.memory.MemoryFaults;
import org.carawaysill.node.observation.BadRequest;
import org.carawaysill.node.observation.ConnectionFault;
import org.carawaysill.node.observation.Counters;
import org.carawaysill.node.observation.UnwrittenGauge;
import org.carawaysill.policy.fleet.FleetEvent;

/**
 * The HTTP server for the requests that enter the fleet on this VM: those of clients, and the calls of the local copy.
 *
 * <p>Invariant: each complete request becomes one event, and ends with one answer or with the end of its connection.
 * The methods of {@link Service} are thread safe; everything else is confined to the event loop.
 */
public final class EntryServer implements Service {

    /** The name under which the service is registered. */
    public static final String NAME = "entry";

    private static final int MAXIMUM_LINE_BYTES = 8192;
    private static final int CHUNK_BYTES = 64 * 1024;
    private static final int BACKLOG = 1024;

    /** Bounds what the operating system holds for a client from which nothing is read. */
    private static final int RECEIVE_BUFFER_BYTES = 64 * 1024;

    /** The interval at which connections are checked for timeouts. */
    private static final Duration SWEEP_INTERVAL = Duration.ofMillis(500);

    private final EventLoop eventLoop;
    private final NetworkAddress address;
    private final WireDialect dialect;
    private final EntryAnswers answers;
    private final MemoryAccount memory;
    private final ClientConnections connections;
    private final Counters counters;
    private final DecisionLog log;
    private final MemoryFaults memoryFaults;
    private final Consumer<FleetEvent> events;
    private final Map<ExchangeIdentifier, OpenExchange> exchanges = new HashMap<>();
    private ClientLimits limits = ClientLimits.DEFAULTS;
    private Optional<Channel> server = Optional.empty();
    private long lastIdentifier;
    private boolean stopping;

    /**
     * Creates a server that doesn't listen yet.
     *
     * @param eventLoop the thread that runs the server
     * @param address the address to listen on
     * @param dialect the names of header fields
     * @param memory the memory of all clients together
     * @param maximumConnections how many connections of clients may be open
     * @param events receives the events of requests
     * @param registry provides the counters, the decision log and the watch for lack of memory
     */
    public EntryServer(
            EventLoop eventLoop,
            NetworkAddress address,
            WireDialect dialect,
            MemoryAccount memory,
            int maximumConnections,
            Consumer<FleetEvent> events,
            ServiceRegistry registry) {
        this.eventLoop = eventLoop;
        this.address = address;
        this.dialect = dialect;
        this.events = events;
        answers = new EntryAnswers(dialect);
        this.memory = memory;
        connections = new ClientConnections(memory, maximumConnections, this::nanoTime);
        counters = registry.require(Counters.NAME, Counters.class);
        ClientGauges.register(counters.registry(), memory, connections);
        UnwrittenGauge.register(counters.registry(), "entry_unwritten", "clients", this::unwritten);
        log = registry.require(DecisionLog.NAME, DecisionLog.class);
        memoryFaults = registry.require(MemoryFaults.NAME, MemoryFaults.class);
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public CompletableFuture<Void> start() {
        CompletableFuture<Void> listening = new CompletableFuture<>();
        new ServerBootstrap()
                .group(eventLoop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        install(channel);
                    }
                })
                .bind(address.host(), address.port())
                .addListener((ChannelFuture bound) -> {
                    if (bound.isSuccess()) {
                        server = Optional.of(bound.channel());
                        long interval = SWEEP_INTERVAL.toMillis();
                        eventLoop.scheduleAtFixedRate(this::sweep, interval, interval, TimeUnit.MILLISECONDS);
                        listening.complete(null);
                    } else {
                        listening.completeExceptionally(new CarawaysillException(
                                Step.INGRESS, Optional.empty(), "can't listen at " + address, bound.cause()));
                    }
                });
        return listening;
    }

    private void install(SocketChannel channel) {
        ConnectionOutput output = new ConnectionOutput(this::nanoTime);
        ReadTurns turns = new ReadTurns();
        channel.config().setRecvByteBufAllocator(turns);
        EntryConnection connection = new EntryConnection(this, output, decoderLimits(), turns);
        channel.pipeline()
                .addLast(output)
                .addLast(new ChannelInboundHandlerAdapter() {
                    @Override
                    public void channelRead(ChannelHandlerContext context, Object message) {
                        connection.bytesArrived(((ByteBuf) message).readableBytes());
                        context.fireChannelRead(message);
                    }
                })
                .addLast(connection.decoder())
                .addLast(new HttpResponseEncoder())
                .addLast(connection);
    }

    private HttpDecoderConfig decoderLimits() {
        return new HttpDecoderConfig()
                .setMaxInitialLineLength(Math.min(MAXIMUM_LINE_BYTES, limits.headerBytes()))
                .setMaxHeaderSize(limits.headerBytes())
                .setMaxChunkSize(CHUNK_BYTES)
                .setStrictLineParsing(true);
    }

    @Override
    public CompletableFuture<Void> stop() {
        CompletableFuture<Void> closed = new CompletableFuture<>();
        eventLoop.execute(() -> {
            server.ifPresent(Channel::close);
            connections.all().forEach(EntryConnection::closeIfIdle);
            closed.complete(null);
        });
        return closed;
    }

    /**
     * Returns the answers that clients have not read yet. Must be called on the event loop.
     *
     * @return the sum over all connections
     */
    public UnwrittenAnswers unwritten() {
        return connections.all().stream()
                .map(EntryConnection::unwritten)
                .reduce(UnwrittenAnswers.NONE, UnwrittenAnswers::plus);
    }

    /**
     * Returns the port on which the server listens.
     *
     * @return the bound port
     */
    public int port() {
        return server.map(channel -> ((InetSocketAddress) channel.localAddress()).getPort())
                .orElse(0);
    }

    /**
     * Answers an exchange.
     *
     * @param identifier the exchange
     * @param outcome the outcome of its request
     */
    public void answer(ExchangeIdentifier identifier, Outcome outcome) {
        OpenExchange open = exchanges.get(identifier);
        if (open != null) {
            open.connection().answer(open.exchange(), outcome);
        }
    }

    /**
     * Applies new limits to clients. Limits of the size of request heads apply only to new connections.
     *
     * @param newer the limits
     */
    public void limitClients(ClientLimits newer) {
        limits = newer;
    }

    /** Closes each connection with the next answer that leaves no request open on it. */
    public void beginStop() {
        stopping = true;
    }

    private void sweep() {
        connections.sweep();
    }

    boolean isStopping() {
        return stopping;
    }

    WireDialect dialect() {
        return dialect;
    }

    EntryAnswers answers() {
        return answers;
    }

    ClientLimits limits() {
        return limits;
    }

    MemoryAccount memory() {
        return memory;
    }

    ClientConnections connections() {
        return connections;
    }

    long nanoTime() {
        return System.nanoTime();
    }

    ExchangeIdentifier nextIdentifier() {
        return new ExchangeIdentifier(0, ++lastIdentifier);
    }

    void emit(FleetEvent event) {
        events.accept(event);
    }

    void addExchange(EntryExchange exchange, EntryConnection connection) {
        exchanges.put(exchange.identifier(), new OpenExchange(exchange, connection));
    }

    void removeExchange(EntryExchange exchange) {
        OpenExchange removed = exchanges.remove(exchange.identifier());
        if (removed != null) {
            removed.connection().release(exchange);
        }
    }

    void countBadRequest(BadRequest kind, String requestName) {
        counters.count(kind);
        log.badRequest(requestName, kind);
    }

    /** Notes that a connection failed. */
    void failed(Throwable cause) {
        memoryFaults.check(cause);
    }

    void countFault(ConnectionFault fault) {
        counters.count(fault);
    }

    /** An exchange that is not answered yet, with the connection for its answer. */
    private record OpenExchange(EntryExchange exchange, EntryConnection connection) {}
}
