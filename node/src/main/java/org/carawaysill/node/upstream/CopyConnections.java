package org.carawaysill.node.upstream;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.carawaysill.kernel.service.Service;
import org.carawaysill.kernel.service.ServiceRegistry;
import org.carawaysill.model.identity.AttemptIdentifier;
import org.carawaysill.model.identity.NetworkAddress;
import org.carawaysill.model.request.CopyNotice;
import org.carawaysill.model.request.Invariant;
import org.carawaysill.model.request.NoticeCount;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.model.request.RefusalReason;
import org.carawaysill.model.request.Step;
import org.carawaysill.node.entry.WireDialect;
import org.carawaysill.node.exchange.BodyBudget;
import org.carawaysill.node.fleet.DecisionLog;
import org.carawaysill.node.memory.MemoryFaults;
import org.carawaysill.node.observation.ConnectionEnd;
import org.carawaysill.node.observation.ConnectionFault;
import org.carawaysill.node.observation.Counters;
import org.carawaysill.policy.fleet.FleetEffect;
import org.carawaysill.policy.fleet.FleetEvent;

/**
 * The pool of HTTP connections to the local copy.
 *
 * <p>Invariants: each request ends once, unless it is cancelled; a request ends as "not run" only if no byte of it was
 * written or the copy itself stated so. The methods of {@link Service} are thread safe; everything else is confined to
 * the event loop.
 */
public final class CopyConnections implements Service {

    /** The name under which the service is registered. */
    public static final String NAME = "copy-connections";

    private static final int CONNECT_LIMIT_MILLIS = 500;
    private static final int CHUNK_BYTES = 64 * 1024;

    private static final Duration SWEEP_INTERVAL = Duration.ofSeconds(1);

    /**
     * How much earlier than the copy this side closes an idle connection. Guards against a request that is sent while
     * the copy closes the connection, which is seen as a reset and leaves it unknown whether the request ran.
     */
    private static final Duration IDLE_MARGIN = Duration.ofMillis(1500);

    /** The idle limit if the copy states none; a common timeout of HTTP servers is 5 s. */
    private static final Duration DEFAULT_IDLE_LIMIT = Duration.ofMillis(3500);

    /**
     * How long a connection rests after an answer before it carries another request. Guards against bytes that a faulty
     * copy sends shortly after an answer: they would end the next request while the copy runs it.
     */
    static final Duration REST = Duration.ofMillis(50);

    /** How many more connections may rest at the same time than requests are in flight. */
    static final int SPARE_RESTING = 8;

    private static final Duration UNREACHABLE_RETRY_AFTER = Duration.ofMillis(500);

    private final EventLoop eventLoop;
    private final WireDialect dialect;
    private final AnswerClassifier classifier;
    private final NoticeReader noticeReader;
    private final UnreadFields unreadFields;
    private final Counters counters;
    private final DecisionLog log;
    private final MemoryFaults memoryFaults;
    private final Consumer<FleetEvent> events;
    private final Bootstrap bootstrap;
    private final ArrayDeque<CopyConnection> idle = new ArrayDeque<>();
    private final Set<CopyConnection> all = new HashSet<>();
    private final Map<AttemptIdentifier, CopyExchange> running = new HashMap<>();
    private final BodyBudget answerBodies;
    private final int maximumConnections;
    private int connecting;
    private final CopyEndCheck endCheck = new CopyEndCheck(this);

    /**
     * Creates a pool without connections.
     *
     * @param eventLoop the thread that runs the pool
     * @param copy the address of the copy
     * @param dialect the names of header fields
     * @param answerMemory how many bytes of the bodies of unfinished answers are kept in memory
     * @param maximumConnections how many connections may be open, connecting ones included
     * @param events receives the events of answers
     * @param registry provides the counters, the decision log and the watch for lack of memory
     */
    public CopyConnections(
            EventLoop eventLoop,
            NetworkAddress copy,
            WireDialect dialect,
            long answerMemory,
            int maximumConnections,
            Consumer<FleetEvent> events,
            ServiceRegistry registry) {
        this.eventLoop = eventLoop;
        this.dialect = dialect;
        this.events = events;
        answerBodies = new BodyBudget(answerMemory);
        this.maximumConnections = maximumConnections;
        classifier = new AnswerClassifier(dialect);
        noticeReader = new NoticeReader(dialect);
        counters = registry.require(Counters.NAME, Counters.class);
        log = registry.require(DecisionLog.NAME, DecisionLog.class);
        memoryFaults = registry.require(MemoryFaults.NAME, MemoryFaults.class);
        unreadFields = new UnreadFields(dialect, this::reportUnread);
        bootstrap = new Bootstrap()
                .group(eventLoop)
                .channelFactory(CopyChannel::new)
                .option(ChannelOption.TCP_NODELAY, true)
                .remoteAddress(copy.host(), copy.port());
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public CompletableFuture<Void> start() {
        long interval = SWEEP_INTERVAL.toMillis();
        eventLoop.scheduleAtFixedRate(this::sweep, interval, interval, TimeUnit.MILLISECONDS);
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public CompletableFuture<Void> stop() {
        CompletableFuture<Void> closed = new CompletableFuture<>();
        eventLoop.execute(() -> {
            endCheck.stop();
            List.copyOf(all).forEach(connection -> connection.close(ConnectionEnd.NODE_STOPS));
            closed.complete(null);
        });
        return closed;
    }

    /**
     * Sends a request to the copy.
     *
     * @param request the request
     */
    public void send(FleetEffect.SendToCopy request) {
        CopyExchange exchange = new CopyExchange(request);
        // With two exchanges under one identifier, each could get the other's answer.
        if (running.putIfAbsent(request.attempt(), exchange) != null) {
            counters.count(Invariant.AT_MOST_ONCE);
            return;
        }
        Optional<CopyConnection> free = takeIdle();
        if (free.isPresent()) {
            free.get().send(exchange);
        } else if (hasRoom()) {
            connect(exchange);
        } else {
            ended(exchange, unreachable());
        }
    }

    private boolean hasRoom() {
        return all.size() + connecting < maximumConnections;
    }

    /**
     * Takes the connection that was used last, so that surplus connections reach their idle limit. If too many rest, or
     * no other may be opened, the one that has rested longest is taken before its time: a copy resets connections beyond
     * its maximum, and the process has descriptors for so many.
     */
    private Optional<CopyConnection> takeIdle() {
        long now = System.nanoTime();
        Iterator<CopyConnection> lastUsedFirst = idle.descendingIterator();
        while (lastUsedFirst.hasNext()) {
            CopyConnection candidate = lastUsedFirst.next();
            if (candidate.hasRested(now, REST)) {
                lastUsedFirst.remove();
                if (isIntact(candidate, now)) {
                    return Optional.of(candidate);
                }
            }
        }
        return takeResting(now);
    }

    private Optional<CopyConnection> takeResting(long now) {
        while (idle.size() >= running.size() + SPARE_RESTING || !idle.isEmpty() && !hasRoom()) {
            CopyConnection longestRested = idle.pollFirst();
            if (isIntact(longestRested, now)) {
                return Optional.of(longestRested);
            }
        }
        return Optional.empty();
    }

    /** Returns whether an idle connection may carry a request, and closes it if not. */
    private static boolean isIntact(CopyConnection candidate, long now) {
        if (!candidate.isUsable(now)) {
            candidate.close(ConnectionEnd.IDLE);
            return false;
        }
        if (candidate.hasInput()) {
            candidate.close(ConnectionEnd.COPY_CLOSED);
            return false;
        }
        return true;
    }

    private void connect(CopyExchange exchange) {
        CopyConnection connection = newConnection();
        connecting++;
        openConnection(connection, CONNECT_LIMIT_MILLIS)
                .addListener((ChannelFuture connected) -> connected(exchange, connection, connected));
    }

    CopyConnection newConnection() {
        return new CopyConnection(this, decoder(), DEFAULT_IDLE_LIMIT);
    }

    ChannelFuture openConnection(CopyConnection connection, int limitMillis) {
        return bootstrap
                .clone()
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, limitMillis)
                .handler(new ChannelInitializer<CopyChannel>() {
                    @Override
                    protected void initChannel(CopyChannel channel) {
                        channel.pipeline()
                                .addLast(new HttpRequestEncoder())
                                .addLast(connection.decoder())
                                .addLast(connection);
                    }
                })
                .connect();
    }

    private static AnswerDecoder decoder() {
        return new AnswerDecoder(new HttpDecoderConfig()
                .setMaxInitialLineLength(AnswerLimits.MAXIMUM_LINE_BYTES)
                .setMaxHeaderSize(AnswerLimits.MAXIMUM_HEAD_BYTES)
                .setMaxChunkSize(CHUNK_BYTES));
    }

    private void connected(CopyExchange exchange, CopyConnection connection, ChannelFuture connected) {
        connecting--;
        if (!connected.isSuccess()) {
            ended(exchange, unreachable());
            return;
        }
        all.add(connection);
        if (exchange.isEnded()) {
            release(connection);
        } else {
            connection.send(exchange);
        }
    }

    private static Outcome.NotRun unreachable() {
        return new Outcome.NotRun(
                RefusalReason.COPY_UNREACHABLE, UNREACHABLE_RETRY_AFTER, Step.COPY_CONNECT, Optional.empty());
    }

    /**
     * Cancels a request at the copy; no event follows for it.
     *
     * @param attempt its attempt
     */
    public void cancel(AttemptIdentifier attempt) {
        CopyExchange exchange = running.remove(attempt);
        if (exchange != null && exchange.end()) {
            exchange.connection().ifPresent(CopyConnection::cancel);
        }
    }

    /** Closes the connections that carry no request. */
    public void closeIdle() {
        List.copyOf(idle).forEach(connection -> connection.close(ConnectionEnd.IDLE));
    }

    void ended(CopyExchange exchange, Outcome outcome) {
        ended(exchange, outcome, Optional.empty());
    }

    /** Ends an exchange by an answer of the copy, which may state something about the copy. */
    void ended(CopyExchange exchange, Outcome outcome, Optional<CopyNotice> notice) {
        if (exchange.end()) {
            running.remove(exchange.request().attempt());
            events.accept(new FleetEvent.CopyAnswered(exchange.request().attempt(), outcome, notice));
        }
    }

    /** Handles an exchange whose connection ended, and checks whether the copy has ended as well. */
    void broken(BrokenExchange exchange) {
        endCheck.add(exchange);
    }

    /** Notes that this side closes a connection, which says nothing about the copy. */
    void closedHere(CopyConnection connection) {
        endCheck.ignore(connection);
    }

    /** Returns the connections that have not ended. */
    Set<CopyConnection> open() {
        return Collections.unmodifiableSet(all);
    }

    /** Adds a connection that was opened to probe the copy. */
    void opened(CopyConnection connection) {
        all.add(connection);
    }

    /**
     * Ends the requests on connections that ended because the copy did; those that a successor process has accepted
     * continue.
     *
     * @return the number of requests that were ended
     */
    int crashed() {
        List<AttemptIdentifier> lost = new ArrayList<>();
        for (CopyExchange exchange : List.copyOf(running.values())) {
            if (isOnEndedConnection(exchange) && exchange.end()) {
                lost.add(exchange.request().attempt());
                running.remove(exchange.request().attempt());
            }
        }
        if (!lost.isEmpty()) {
            events.accept(new FleetEvent.CopyCrashed(lost));
        }
        return lost.size();
    }

    private boolean isOnEndedConnection(CopyExchange exchange) {
        return exchange.connection().filter(carrier -> !all.contains(carrier)).isPresent();
    }

    int runningCount() {
        return running.size();
    }

    EventLoop eventLoop() {
        return eventLoop;
    }

    DecisionLog log() {
        return log;
    }

    void release(CopyConnection connection) {
        idle.addLast(connection);
    }

    void closed(CopyConnection connection) {
        all.remove(connection);
        idle.remove(connection);
    }

    private void sweep() {
        long now = System.nanoTime();
        List.copyOf(idle).stream()
                .filter(connection -> !connection.isUsable(now))
                .forEach(connection -> connection.close(ConnectionEnd.IDLE));
    }

    /** Returns how long this side keeps an idle connection if the copy closes it after the stated time. */
    Duration idleLimit(Duration stated) {
        Duration limit = stated.minus(IDLE_MARGIN);
        return limit.isNegative() ? Duration.ZERO : limit;
    }

    WireDialect dialect() {
        return dialect;
    }

    AnswerClassifier classifier() {
        return classifier;
    }

    /** Returns what an answer states about the copy, and reports fields that this node doesn't read. */
    Optional<CopyNotice> notice(HttpResponse response, String requestName) {
        unreadFields.check(response.headers());
        return noticeReader.read(response, requestName);
    }

    private void reportUnread(String field) {
        counters.count(NoticeCount.FIELD_UNREAD);
        log.fieldUnread(field);
    }

    BodyBudget answerBodies() {
        return answerBodies;
    }

    /** Returns the connection with the largest unfinished answer; the given one if none has begun. */
    CopyConnection largestAnswer(CopyConnection receiving) {
        return all.stream()
                .filter(connection -> connection.keptBytes() > receiving.keptBytes())
                .max(Comparator.comparingInt(CopyConnection::keptBytes))
                .orElse(receiving);
    }

    void logEnd(CopyExchange exchange, ConnectionEnd reason, long answerBytes) {
        log.copyConnectionEnded(exchange.request(), reason, answerBytes, exchange.age(), exchange.rested());
    }

    /** Notes that a connection failed. */
    void failed(Throwable cause) {
        memoryFaults.check(cause);
    }

    void count(ConnectionFault fault) {
        counters.count(fault);
    }
}
