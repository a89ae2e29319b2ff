package org.carawaysill.node.entry;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Optional;
import org.carawaysill.model.fleet.ClientLimits;
import org.carawaysill.model.identity.ExchangeIdentifier;
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
 * each complete request gets one answer or the connection ends; after an answer that closes the connection, no further
 * input is processed. Not thread safe: confined to the event loop.
 */
final class EntryConnection extends ChannelInboundHandlerAdapter {

    /**
     * The number of open exchanges at which reading from the client pauses. Guards against a client that keeps sending
     * requests without reading the answers.
     */
    private static final int MAXIMUM_OPEN_EXCHANGES = 64;

    /**
     * How long a client may read nothing while answers wait for it, which stay in memory until then. Longer than any
     * client waits for an answer.
     */
    private static final Duration READ_LIMIT = Duration.ofSeconds(20);

    /** How long a client whose request was malformed or too large may go on sending after the answer that says so. */
    private static final Duration REJECTED_LINGER = Duration.ofSeconds(1);

    private final EntryServer server;
    private final ConnectionOutput output;
    private final ArrayDeque<EntryExchange> open = new ArrayDeque<>();
    private Optional<ChannelHandlerContext> channel = Optional.empty();
    private Optional<RequestHead> head = Optional.empty();
    private final BodyBuffer body;
    private boolean rejecting;
    private boolean closing;
    private long lastProgressNanos;
    private boolean receiving;
    private boolean headStarted;
    private long headStartNanos;

    EntryConnection(EntryServer server, ConnectionOutput output) {
        this.server = server;
        this.output = output;
        body = new BodyBuffer(server.bodies());
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        channel = Optional.of(context);
        lastProgressNanos = server.nanoTime();
        server.opened(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        server.closed(this);
        discardBody();
        while (!open.isEmpty()) {
            EntryExchange exchange = open.poll();
            server.removeExchange(exchange);
            if (exchange.answer().isEmpty()) {
                server.emit(new FleetEvent.ExchangeClosed(exchange.identifier()));
            } else {
                exchange.answer().get().release();
            }
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (!closing) {
                receive(context, message);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void receive(ChannelHandlerContext context, Object message) {
        receiving = true;
        if (message instanceof HttpRequest request) {
            beginRequest(context, request);
        }
        if (message instanceof HttpContent content && !rejecting) {
            receiveBody(content);
        }
    }

    private void beginRequest(ChannelHandlerContext context, HttpRequest request) {
        rejecting = false;
        headStarted = false;
        lastProgressNanos = server.nanoTime();
        DecoderResult decoded = request.decoderResult();
        if (decoded.isFailure()) {
            refuse(decodingFault(decoded.cause()), "");
            return;
        }
        RequestHead read = RequestHead.of(request, server.dialect());
        Optional<BadRequest> bad = read.fault(server.limits());
        if (bad.isPresent()) {
            refuse(bad.get(), read.requestName());
            return;
        }
        if (!server.bodies().hasRoom(read.statedLength())) {
            refuse(BadRequest.BODIES_FILL_MEMORY, read.requestName());
            return;
        }
        if (HttpUtil.is100ContinueExpected(request)) {
            context.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
        head = Optional.of(read);
    }

    private static BadRequest decodingFault(Throwable cause) {
        return switch (cause) {
            case TooLongHttpLineException _ -> BadRequest.LINE_TOO_LONG;
            case TooLongHttpHeaderException _ -> BadRequest.HEADERS_TOO_LARGE;
            default -> BadRequest.MALFORMED;
        };
    }

    private void receiveBody(HttpContent content) {
        if (head.isEmpty()) {
            return;
        }
        if (content.decoderResult().isFailure()) {
            refuse(BadRequest.FRAMING, head.get().requestName());
            return;
        }
        ByteBuf bytes = content.content();
        if (bytes.isReadable()) {
            append(bytes);
        }
        if (content instanceof LastHttpContent && !rejecting) {
            endRequest(head.get());
        }
    }

    private void append(ByteBuf bytes) {
        if (body.length() + (long) bytes.readableBytes() > server.limits().bodyBytes()) {
            refuse(BadRequest.BODY_TOO_LARGE, requestName());
        } else if (!body.append(bytes, head.map(RequestHead::statedLength).orElse(0))) {
            refuse(BadRequest.BODIES_FILL_MEMORY, requestName());
        }
    }

    private void endRequest(RequestHead read) {
        Body whole = body.take();
        ExchangeIdentifier identifier = server.nextIdentifier();
        EntryExchange exchange =
                new EntryExchange(identifier, read.requestName(), read.isHead(), !read.keepsAlive(), whole.length());
        head = Optional.empty();
        receiving = false;
        lastProgressNanos = server.nanoTime();
        open.add(exchange);
        server.addExchange(exchange, this);
        if (open.size() >= MAXIMUM_OPEN_EXCHANGES) {
            channel.ifPresent(context -> context.channel().config().setAutoRead(false));
        }
        server.emit(new FleetEvent.RequestArrived(
                identifier,
                read.requestName(),
                read.host(),
                read.clientTimeout(),
                read.credential(),
                read.content(whole)));
    }

    private String requestName() {
        return head.map(RequestHead::requestName).orElse("");
    }

    private void discardBody() {
        body.discard();
        head = Optional.empty();
    }

    /** Answers a request that can't be accepted, after the pending answers, and then closes the connection. */
    private void refuse(BadRequest kind, String requestName) {
        discardBody();
        rejecting = true;
        receiving = false;
        server.countBadRequest(kind, requestName);
        EntryExchange exchange = new EntryExchange(server.nextIdentifier(), requestName, false, true, 0);
        exchange.answer(server.answers().ofBad(kind, exchange));
        open.add(exchange);
        writeAnswers();
    }

    /** Writes the outcome of a request. */
    void answer(EntryExchange exchange, Outcome outcome) {
        exchange.answer(server.answers().of(outcome, exchange));
        server.removeExchange(exchange);
        writeAnswers();
    }

    private void writeAnswers() {
        ChannelHandlerContext context = channel.orElseThrow();
        while (!open.isEmpty() && open.peek().answer().isPresent() && !closing) {
            write(context, open.poll());
        }
        context.flush();
        // After the last answer, what the client still sends is read and dropped until it closes the connection.
        if (open.size() < MAXIMUM_OPEN_EXCHANGES || closing) {
            context.channel().config().setAutoRead(true);
        }
    }

    private void write(ChannelHandlerContext context, EntryExchange exchange) {
        FullHttpResponse response = exchange.answer().orElseThrow();
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

    /** Records the arrival of bytes that may or may not form a complete request head. */
    void bytesArrived() {
        if (!receiving && !headStarted) {
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
                && now - headStartNanos > limits.headerTimeout().toNanos()) {
            headStarted = false;
            refuse(BadRequest.HEAD_TOO_SLOW, "");
        } else if (!closing
                && receiving
                && now - lastProgressNanos > limits.idleTimeout().toNanos()) {
            refuse(BadRequest.BODY_TOO_SLOW, requestName());
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
        return rejecting ? REJECTED_LINGER : READ_LIMIT;
    }

    /** Returns whether a request is being received or is not answered yet. */
    private boolean hasRequest() {
        return receiving || !open.isEmpty();
    }

    /** Returns whether the connection can be closed without loss to its client. */
    private boolean isIdle() {
        return !hasRequest() && !output.isDelivering();
    }

    private void end(ConnectionFault fault) {
        server.countFault(fault);
        closing = true;
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
