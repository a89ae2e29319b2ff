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
import java.util.Arrays;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.carawaysill.model.fleet.ClientLimits;
import org.carawaysill.model.identity.ExchangeIdentifier;
import org.carawaysill.model.request.Body;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.node.observation.BadRequest;
import org.carawaysill.node.observation.ConnectionFault;
import org.carawaysill.policy.fleet.FleetEvent;

/**
 * One client's connection.
 *
 * <p>Requests that arrive before earlier ones are answered are worked on together; the answers go out in the order of the
 * requests. Invariants: each whole request gets one answer or the connection ends; after an answer that closes the
 * connection nothing more is taken from it. Confined to the event loop.
 */
final class EntryConnection extends ChannelInboundHandlerAdapter {

    /** Guards against a client that sends without end before it reads: it is not read from while so many are open. */
    private static final int MOST_OPEN = 64;

    /**
     * Guards against a client that does not read its answers, which would be kept in memory as long as it stays. Longer
     * than any client waits for an answer.
     */
    private static final Duration READ_LIMIT = Duration.ofSeconds(20);

    private static final Duration LINGER = Duration.ofSeconds(1);

    private final EntryServer server;
    private final ArrayDeque<EntryExchange> open = new ArrayDeque<>();
    private Optional<ChannelHandlerContext> channel = Optional.empty();
    private Optional<RequestHead> head = Optional.empty();
    private byte[] body = new byte[0];
    private int taken;
    private boolean refusing;
    private boolean closing;
    private long quietSinceNanos;
    private boolean receiving;
    private boolean headBegun;
    private long headBegunNanos;
    private int unwritten;
    private long unwrittenSinceNanos;

    EntryConnection(EntryServer server) {
        this.server = server;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        channel = Optional.of(context);
        quietSinceNanos = server.nanoTime();
        server.opened(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        server.closed(this);
        giveBackBody();
        while (!open.isEmpty()) {
            EntryExchange exchange = open.poll();
            server.forget(exchange);
            if (exchange.answer().isEmpty()) {
                server.handle(new FleetEvent.ExchangeClosed(exchange.identifier()));
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
        if (message instanceof HttpContent content && !refusing) {
            receiveBody(content);
        }
    }

    private void beginRequest(ChannelHandlerContext context, HttpRequest request) {
        refusing = false;
        headBegun = false;
        quietSinceNanos = server.nanoTime();
        DecoderResult decoded = request.decoderResult();
        if (decoded.isFailure()) {
            refuse(undecodable(decoded.cause()), "");
            return;
        }
        RequestHead read = RequestHead.of(request, server.dialect());
        Optional<BadRequest> bad = read.fault(server.limits());
        if (bad.isPresent()) {
            refuse(bad.get(), read.requestName());
            return;
        }
        if (HttpUtil.is100ContinueExpected(request)) {
            context.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
        head = Optional.of(read);
    }

    private static BadRequest undecodable(Throwable cause) {
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
        if (content instanceof LastHttpContent && !refusing) {
            endRequest(head.get());
        }
    }

    private void append(ByteBuf bytes) {
        int added = bytes.readableBytes();
        if (taken + (long) added > server.limits().bodyBytes()) {
            refuse(BadRequest.BODY_TOO_LARGE, requestName());
            return;
        }
        if (!server.bodies().take(added)) {
            refuse(BadRequest.BODIES_FILL_MEMORY, requestName());
            return;
        }
        if (body.length < taken + added) {
            int capacity =
                    Math.max(taken + added, head.map(RequestHead::statedLength).orElse(0));
            body = Arrays.copyOf(body, Math.max(capacity, Math.min(2 * body.length, taken + 2 * added)));
        }
        bytes.readBytes(body, taken, added);
        taken += added;
    }

    private void endRequest(RequestHead read) {
        byte[] whole = body.length == taken ? body : Arrays.copyOf(body, taken);
        ExchangeIdentifier identifier = server.nextIdentifier();
        EntryExchange exchange =
                new EntryExchange(identifier, read.requestName(), read.isHead(), !read.keepsAlive(), taken);
        resetRequest();
        receiving = false;
        quietSinceNanos = server.nanoTime();
        open.add(exchange);
        server.remember(exchange, this);
        if (open.size() >= MOST_OPEN) {
            channel.ifPresent(context -> context.channel().config().setAutoRead(false));
        }
        server.handle(new FleetEvent.RequestArrived(
                identifier,
                read.requestName(),
                read.host(),
                read.patience(),
                read.credential(),
                read.content(Body.wrap(whole))));
    }

    private String requestName() {
        return head.map(RequestHead::requestName).orElse("");
    }

    private void resetRequest() {
        head = Optional.empty();
        body = new byte[0];
        taken = 0;
    }

    private void giveBackBody() {
        server.bodies().giveBack(taken);
        resetRequest();
    }

    /** Answers a request that can't be taken, behind the answers still due, and closes the connection after that. */
    private void refuse(BadRequest kind, String requestName) {
        giveBackBody();
        refusing = true;
        receiving = false;
        server.countBad(kind, requestName);
        EntryExchange exchange = new EntryExchange(server.nextIdentifier(), requestName, false, true, 0);
        exchange.answer(server.answers().ofBad(kind, exchange));
        open.add(exchange);
        writeAnswers();
    }

    /** Writes the outcome of a request. */
    void answer(EntryExchange exchange, Outcome outcome) {
        exchange.answer(server.answers().of(outcome, exchange));
        server.forget(exchange);
        writeAnswers();
    }

    private void writeAnswers() {
        ChannelHandlerContext context = channel.orElseThrow();
        while (!open.isEmpty() && open.peek().answer().isPresent() && !closing) {
            write(context, open.poll());
        }
        context.flush();
        if (open.size() < MOST_OPEN && !context.channel().config().isAutoRead() && !closing) {
            context.channel().config().setAutoRead(true);
        }
    }

    private void write(ChannelHandlerContext context, EntryExchange exchange) {
        FullHttpResponse response = exchange.answer().orElseThrow();
        quietSinceNanos = server.nanoTime();
        boolean last = exchange.isClosing() || server.isStopping() && open.isEmpty() && !receiving;
        if (unwritten++ == 0) {
            unwrittenSinceNanos = quietSinceNanos;
        }
        if (last) {
            closing = true;
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            context.write(response).addListener(_ -> closeInOrder(context));
        } else {
            context.write(response).addListener(_ -> writtenOne());
        }
    }

    /**
     * Ends the own side first, and the connection once the client has done so too. Guards against a close with unread
     * bytes, at which the operating system resets the connection and the client may lose the answer.
     */
    private static void closeInOrder(ChannelHandlerContext context) {
        ((SocketChannel) context.channel()).shutdownOutput();
        context.executor().schedule(() -> context.close(), LINGER.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void writtenOne() {
        unwritten--;
        unwrittenSinceNanos = server.nanoTime();
    }

    /** Notes that bytes came, before it is known whether they are a whole request head. */
    void bytesArrived() {
        if (!receiving && !headBegun) {
            headBegun = true;
            headBegunNanos = server.nanoTime();
        }
    }

    /** Ends what takes too long: a request head, a body, a pause, or a client that does not read. */
    void sweep(long now) {
        ClientLimits limits = server.limits();
        if (!closing
                && headBegun
                && now - headBegunNanos > limits.headerTimeout().toNanos()) {
            headBegun = false;
            refuse(BadRequest.HEAD_TOO_SLOW, "");
        } else if (!closing
                && receiving
                && now - quietSinceNanos > limits.idleTimeout().toNanos()) {
            refuse(BadRequest.BODY_TOO_SLOW, requestName());
        } else if (unwritten > 0 && now - unwrittenSinceNanos > READ_LIMIT.toNanos()) {
            end(ConnectionFault.SLOW_READER);
        } else if (!closing
                && isIdle()
                && now - quietSinceNanos > limits.idleTimeout().toNanos()) {
            end(ConnectionFault.SLOW_HEADER);
        }
    }

    private boolean isIdle() {
        return !receiving && open.isEmpty();
    }

    private void end(ConnectionFault fault) {
        server.countFault(fault);
        closing = true;
        channel.ifPresent(ChannelHandlerContext::close);
    }

    /** Closes the connection if it has nothing to do. */
    void closeIfIdle() {
        if (isIdle() && !closing) {
            closing = true;
            channel.ifPresent(ChannelHandlerContext::close);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        server.countFault(ConnectionFault.BROKEN);
        context.close();
    }
}
