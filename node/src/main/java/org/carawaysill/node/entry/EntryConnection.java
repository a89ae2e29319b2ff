package org.carawaysill.node.entry;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.ReferenceCountUtil;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Optional;
import java.util.function.Supplier;
import org.carawaysill.model.fleet.ClientLimits;
import org.carawaysill.model.identity.ExchangeIdentifier;
import org.carawaysill.model.request.AnswerContent;
import org.carawaysill.model.request.Body;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.model.request.UnwrittenAnswers;
import org.carawaysill.node.observation.BadRequest;
import org.carawaysill.node.observation.ConnectionFault;
import org.carawaysill.policy.fleet.FleetEvent;

/**
 * The connection of a client.
 *
 * <p>Pipelined requests are processed concurrently; their answers are written in the order of the requests. Invariants:
 * each complete request gets one answer or the connection ends; behind a request whose answer closes the connection, no
 * further one is processed. Not thread safe: confined to the event loop.
 */
final class EntryConnection extends ChannelInboundHandlerAdapter {

    /**
     * The number of open exchanges at which no further request of the client is decoded. Guards against a client that
     * keeps sending requests without reading the answers.
     */
    private static final int MAXIMUM_OPEN_EXCHANGES = 64;

    /**
     * How long a client may read nothing while answers wait for it, which stay in memory until then. Longer than any
     * client waits for an answer.
     */
    private static final Duration READ_LIMIT = Duration.ofSeconds(20);

    /** How long a client may read nothing of its answers before they are the first to be given up for others. */
    private static final Duration UNREAD_LIMIT = Duration.ofSeconds(1);

    /** What the node's own fields and its explanation of a refusal take beside the copy's answer. */
    private static final int REFUSAL_BYTES = 512;

    /** How long a client whose request was malformed or too large may go on sending after the answer that says so. */
    private static final Duration REJECTED_LINGER = Duration.ofSeconds(1);

    /** The order in which connections are closed if there is no room for all. */
    static final Comparator<EntryConnection> LEAST_NEEDED_FIRST = Comparator.<EntryConnection, Boolean>comparing(
                    connection -> connection.completedRequest)
            .thenComparingLong(EntryConnection::waitingSinceNanos);

    private final EntryServer server;
    private final ConnectionOutput output;
    private final StrictRequestDecoder decoder;
    private final ReadTurns turns;
    private final ConnectionMemory memory;
    private final ArrayDeque<EntryExchange> open = new ArrayDeque<>();
    private Optional<ChannelHandlerContext> channel = Optional.empty();
    private final RequestAssembly assembly;
    private boolean inputEnded;
    private boolean completedRequest;
    private long waitingAnswerBytes;
    private boolean closing;
    private boolean closed;
    private long openedNanos;
    private long lastProgressNanos;
    private boolean headStarted;
    private long headStartNanos;

    EntryConnection(EntryServer server, ConnectionOutput output, HttpDecoderConfig limits, ReadTurns turns) {
        this.server = server;
        this.output = output;
        decoder = new StrictRequestDecoder(limits, this::takesRequest);
        this.turns = turns;
        memory = new ConnectionMemory(server.memory());
        assembly = new RequestAssembly(server, this);
        output.onProgress(this::holdAnswers);
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        channel = Optional.of(context);
        openedNanos = server.nanoTime();
        lastProgressNanos = openedNanos;
        if (!server.connections().add(this)) {
            end(ConnectionFault.TOO_MANY);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        releaseAll();
    }

    /** Gives back what the connection holds, and ends its requests. */
    private void releaseAll() {
        if (closed) {
            return;
        }
        closed = true;
        server.connections().remove(this);
        assembly.discard();
        while (!open.isEmpty()) {
            EntryExchange exchange = open.poll();
            server.removeExchange(exchange);
            if (exchange.answer().isEmpty()) {
                server.emit(new FleetEvent.ExchangeClosed(exchange.identifier()));
            }
        }
        memory.close();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            countSteps(message);
            if (!closing && !inputEnded) {
                receive(context, message);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void countSteps(Object message) {
        if (message instanceof HttpRequest request) {
            turns.decodedHead(request.headers().size());
        } else {
            turns.decodedPart();
        }
    }

    private void receive(ChannelHandlerContext context, Object message) {
        if (message instanceof HttpRequest request) {
            headStarted = false;
            lastProgressNanos = server.nanoTime();
            assembly.begin(context, request);
        }
        if (message instanceof HttpContent content) {
            assembly.receiveBody(content);
        }
    }

    /** Passes a complete request on. */
    void complete(RequestHead read, Body whole) {
        ExchangeIdentifier identifier = server.nextIdentifier();
        EntryExchange exchange = exchange(identifier, read, whole.length());
        completedRequest = true;
        inputEnded = exchange.isClosing();
        lastProgressNanos = server.nanoTime();
        open.add(exchange);
        server.addExchange(exchange, this);
        server.emit(new FleetEvent.RequestArrived(
                identifier,
                read.requestName(),
                read.host(),
                read.clientTimeout(),
                read.credential(),
                read.content(whole)));
    }

    private static EntryExchange exchange(ExchangeIdentifier identifier, RequestHead read, int bodyBytes) {
        return new EntryExchange(
                identifier, read.requestName(), read.isHead(), !read.keepsAlive(), read.byteCount(), bodyBytes);
    }

    /** Refuses a request for which there is no memory; if it has no body, the connection stays usable. */
    void refuseForMemory(RequestHead read) {
        server.connections().turnedAway();
        if (!read.whole()) {
            refuse(BadRequest.REQUESTS_FILL_MEMORY, read.requestName());
            return;
        }
        completedRequest = true;
        refuse(BadRequest.REQUESTS_FILL_MEMORY, read.requestName(), read.isHead(), !read.keepsAlive());
    }

    /** Answers a request that can't be accepted, after the pending answers, and then closes the connection. */
    void refuse(BadRequest kind, String requestName) {
        refuse(kind, requestName, false, true);
    }

    private void refuse(BadRequest kind, String requestName, boolean isHead, boolean last) {
        assembly.reject();
        inputEnded = last;
        server.countBadRequest(kind, requestName);
        EntryExchange refused = new EntryExchange(server.nextIdentifier(), requestName, isHead, last, 0, 0);
        open.add(refused);
        answer(refused, REFUSAL_BYTES, () -> server.answers().ofBad(kind, refused));
    }

    /** Writes the outcome of a request. */
    void answer(EntryExchange exchange, Outcome outcome) {
        long byteCount = outcome instanceof Outcome.Answered(AnswerContent content)
                ? content.byteCount() + REFUSAL_BYTES
                : REFUSAL_BYTES;
        server.removeExchange(exchange);
        answer(exchange, byteCount, () -> server.answers().of(outcome, exchange));
    }

    private void answer(EntryExchange exchange, long byteCount, Supplier<FullHttpResponse> response) {
        exchange.answer(new EntryExchange.Answer(byteCount, response));
        waitingAnswerBytes += byteCount;
        writeAnswers();
    }

    /** Gives back the memory of a request. */
    void release(EntryExchange exchange) {
        memory.release(exchange);
    }

    /** Holds what the client has not read of its answers. If there is no room, clients that read too slowly are closed. */
    private void holdAnswers() {
        long unread = waitingAnswerBytes + output.bytes();
        if (!server.connections().makeRoomForAnswers(this, () -> memory.holdAnswers(unread))) {
            end(ConnectionFault.MEMORY_FULL);
        }
    }

    private void writeAnswers() {
        ChannelHandlerContext context = channel.orElseThrow();
        while (!open.isEmpty() && open.peek().answer().isPresent() && !closing) {
            write(context, open.poll());
        }
        context.flush();
        holdAnswers();
        if (!isReading() && takesRequest()) {
            resumeReading(context);
        }
    }

    /**
     * Returns whether the next request may be decoded. After the last answer, what the client still sends is decoded and
     * dropped until it closes the connection.
     */
    private boolean takesRequest() {
        return closing || inputEnded || open.size() < MAXIMUM_OPEN_EXCHANGES && !memory.isFull();
    }

    /** Reads again from the client, who has time from now on for what it has begun to send. */
    private void resumeReading(ChannelHandlerContext context) {
        headStartNanos = server.nanoTime();
        context.channel().config().setAutoRead(true);
        context.executor().execute(() -> {
            context.pipeline().fireChannelRead(Unpooled.EMPTY_BUFFER);
            context.pipeline().fireChannelReadComplete();
        });
    }

    private boolean isReading() {
        return channel.filter(context -> context.channel().config().isAutoRead())
                .isPresent();
    }

    private void write(ChannelHandlerContext context, EntryExchange exchange) {
        EntryExchange.Answer answer = exchange.answer().orElseThrow();
        waitingAnswerBytes -= answer.byteCount();
        FullHttpResponse response;
        try {
            response = answer.response().get();
        } catch (IllegalArgumentException invalid) {
            // The answers behind it would be taken for this one.
            end(ConnectionFault.BROKEN);
            return;
        }
        lastProgressNanos = server.nanoTime();
        boolean last = exchange.isClosing() || server.isStopping() && !hasRequest();
        output.answerBegins();
        if (last) {
            closing = true;
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            context.write(response).addListener(_ -> {
                answerEnded(true);
                shutDownGracefully(context);
            });
        } else {
            context.write(response).addListener(_ -> answerEnded(false));
        }
    }

    /**
     * Shuts down the node's own direction first, and leaves it to the client to close the connection once it has read
     * the last answer. If a connection is closed with unread bytes, or bytes arrive after its end, the operating system
     * resets it and the client may lose the answers that it has not read yet.
     */
    private static void shutDownGracefully(ChannelHandlerContext context) {
        ((SocketChannel) context.channel()).shutdownOutput();
    }

    private void answerEnded(boolean last) {
        output.answerEnded(last);
        lastProgressNanos = server.nanoTime();
    }

    /** Returns the answers that the client has not read yet. */
    UnwrittenAnswers unwritten() {
        return output.unwritten();
    }

    StrictRequestDecoder decoder() {
        return decoder;
    }

    /** Returns what the client makes the node hold. */
    ConnectionMemory memory() {
        return memory;
    }

    /** Returns whether the connection can be closed without ending a request that was passed on, or its answer. */
    boolean isExpendable() {
        return !closed && open.isEmpty() && !output.isWriting();
    }

    /** Returns whether answers wait for the client, which has read none of them for a while. */
    boolean readsNothing(long now) {
        return output.isWriting() && now - output.progressNanos() > UNREAD_LIMIT.toNanos();
    }

    /** Returns whether another connection may be closed for a request on this one. */
    boolean goesBefore(EntryConnection other) {
        return !other.completedRequest && other.openedNanos < openedNanos;
    }

    private long waitingSinceNanos() {
        return completedRequest ? lastProgressNanos : openedNanos;
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        turns.turnEnded();
        // Only now, so that the end of a connection without further requests is still seen.
        if (decoder.holdsBack()) {
            context.channel().config().setAutoRead(false);
        }
        if (!server.connections().makeRoom(() -> memory.holdInput(decoder.bufferedBytes()))) {
            end(ConnectionFault.MEMORY_FULL);
        }
        context.fireChannelReadComplete();
    }

    /** Records the arrival of bytes that may or may not form a complete request head. */
    void bytesArrived(int count) {
        turns.read(count);
        if (count > 0 && !assembly.isReceiving() && !headStarted) {
            headStarted = true;
            headStartNanos = server.nanoTime();
        }
    }

    /**
     * Ends requests and connections that exceed a time limit: a slow request head, a slow body, an idle connection, a
     * client that doesn't read its answers, or one that doesn't close the connection after the last of them.
     */
    void sweep(long now) {
        ClientLimits limits = server.limits();
        if (output.isLastAnswerWritten()
                && now - lastProgressNanos > lingerLimit().toNanos()) {
            channel.ifPresent(ChannelHandlerContext::close);
        } else if (!closing
                && headStarted
                && isReading()
                && now - headStartNanos > limits.headerTimeout().toNanos()) {
            headStarted = false;
            refuse(BadRequest.HEAD_TOO_SLOW, "");
        } else if (!closing
                && assembly.isReceiving()
                && now - lastProgressNanos > limits.idleTimeout().toNanos()) {
            refuse(BadRequest.BODY_TOO_SLOW, assembly.requestName());
        } else if (output.isWriting() && now - output.progressNanos() > READ_LIMIT.toNanos()) {
            end(ConnectionFault.SLOW_READER);
        } else if (!closing
                && isIdle()
                && now - lastProgressNanos > limits.idleTimeout().toNanos()) {
            end(ConnectionFault.SLOW_HEADER);
        }
    }

    /** Returns how long the client may keep the connection open after the last answer. */
    private Duration lingerLimit() {
        return assembly.isRejecting() ? REJECTED_LINGER : READ_LIMIT;
    }

    /** Returns whether a request is being received or is not answered yet. */
    private boolean hasRequest() {
        return assembly.isReceiving() || !open.isEmpty();
    }

    /** Returns whether the connection can be closed without loss to its client. */
    private boolean isIdle() {
        return !hasRequest() && !output.isDelivering();
    }

    /** Closes the connection, whatever its client still expects. */
    void end(ConnectionFault fault) {
        server.countFault(fault);
        closing = true;
        releaseAll();
        channel.ifPresent(ChannelHandlerContext::close);
    }

    /** Closes the connection if no request is in progress and the client has read its answers. */
    void closeIfIdle() {
        if (isIdle() && !closing) {
            closing = true;
            channel.ifPresent(ChannelHandlerContext::close);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        server.failed(cause);
        server.countFault(ConnectionFault.BROKEN);
        context.close();
    }
}
