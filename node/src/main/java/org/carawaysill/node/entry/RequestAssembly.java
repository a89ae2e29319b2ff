package org.carawaysill.node.entry;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import java.util.Optional;
import org.carawaysill.model.request.Body;
import org.carawaysill.node.memory.Holder;
import org.carawaysill.node.observation.BadRequest;

/**
 * Assembles the requests of a connection from their decoded parts, within the memory that clients may take.
 *
 * <p>Invariant: each request whose head was decoded is completed or refused once, unless the connection ends before. Not
 * thread safe: confined to the event loop.
 */
final class RequestAssembly {

    private final EntryServer server;
    private final EntryConnection connection;
    private final BodyBuffer body;
    private Optional<RequestHead> head = Optional.empty();
    private boolean receiving;
    private boolean rejecting;

    RequestAssembly(EntryServer server, EntryConnection connection) {
        this.server = server;
        this.connection = connection;
        body = new BodyBuffer(server.memory().reservation(Holder.BODIES));
    }

    /** Returns whether a request has begun and is not complete. */
    boolean isReceiving() {
        return receiving;
    }

    /** Returns whether the last request was refused, so that what follows of it is dropped. */
    boolean isRejecting() {
        return rejecting;
    }

    /** Returns the client's name for the request that is being received; empty if it gave none. */
    String requestName() {
        return head.map(RequestHead::requestName).orElse("");
    }

    void begin(ChannelHandlerContext context, HttpRequest request) {
        receiving = true;
        rejecting = false;
        DecoderResult decoded = request.decoderResult();
        if (decoded.isFailure()) {
            connection.refuse(decodingFault(decoded.cause()), "");
            return;
        }
        RequestHead read = RequestHead.of(request, server.dialect());
        Optional<BadRequest> bad = read.fault(server.limits());
        if (bad.isPresent()) {
            connection.refuse(bad.get(), read.requestName());
            return;
        }
        if (!hasRoomForBody(read)) {
            connection.refuse(BadRequest.BODIES_FILL_MEMORY, read.requestName());
            return;
        }
        if (!server.connections()
                .makeRoomForRequest(connection, () -> connection.memory().holdRequest(read.byteCount()))) {
            connection.refuseForMemory(read);
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

    private boolean hasRoomForBody(RequestHead read) {
        return server.connections()
                .makeRoomForBody(
                        connection,
                        read.statedLength(),
                        () -> server.memory().hasRoom(Holder.BODIES, read.statedLength()));
    }

    void receiveBody(HttpContent content) {
        if (rejecting || head.isEmpty()) {
            return;
        }
        if (content.decoderResult().isFailure()) {
            connection.refuse(BadRequest.FRAMING, requestName());
            return;
        }
        ByteBuf bytes = content.content();
        if (bytes.isReadable()) {
            append(bytes);
        }
        if (content instanceof LastHttpContent && !rejecting) {
            complete(head.get());
        }
    }

    private void append(ByteBuf bytes) {
        int statedLength = head.map(RequestHead::statedLength).orElse(0);
        if (body.length() + (long) bytes.readableBytes() > server.limits().bodyBytes()) {
            connection.refuse(BadRequest.BODY_TOO_LARGE, requestName());
        } else if (!server.connections()
                .makeRoomForBody(connection, bytes.readableBytes(), () -> body.append(bytes, statedLength))) {
            connection.refuse(BadRequest.BODIES_FILL_MEMORY, requestName());
        }
    }

    private void complete(RequestHead read) {
        Body whole = body.take();
        connection.memory().holdBody(whole.length());
        head = Optional.empty();
        receiving = false;
        connection.complete(read, whole);
    }

    /** Drops the request that is being received, and what still comes of it. */
    void reject() {
        discard();
        rejecting = true;
        receiving = false;
    }

    /** Gives back what the request that is being received holds. */
    void discard() {
        body.discard();
        head.ifPresent(read -> connection.memory().releaseHead(read.byteCount()));
        head = Optional.empty();
    }
}
