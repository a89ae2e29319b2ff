package org.carawaysill.node.entry;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.request.AnswerContent;
import org.carawaysill.model.request.Header;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.model.request.RefusalReason;
import org.carawaysill.model.request.Step;
import org.carawaysill.model.request.UnknownReason;
import org.carawaysill.node.exchange.ProblemDocument;
import org.carawaysill.node.observation.BadRequest;
import org.carawaysill.node.observation.Counters;

/**
 * Creates HTTP answers from the outcomes of requests.
 *
 * <p>Invariants: an answer of a copy is passed on with its status, its header fields and its whole body; status 503 is
 * used only for requests that no copy ran. Stateless and thread safe.
 */
final class EntryAnswers {

    private static final int NOT_FOUND = 404;
    private static final int BAD_REQUEST = 400;
    private static final int UNAUTHORIZED = 401;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int BAD_GATEWAY = 502;
    private static final int UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;

    /** The retry delay when bodies fill the memory: by then some of their requests are answered. */
    private static final Duration MEMORY_RETRY_AFTER = Duration.ofMillis(500);

    private static final double MILLIS_PER_SECOND = TimeUnit.SECONDS.toMillis(1);

    private final WireDialect dialect;

    EntryAnswers(WireDialect dialect) {
        this.dialect = dialect;
    }

    FullHttpResponse of(Outcome outcome, EntryExchange exchange) {
        return switch (outcome) {
            case Outcome.Answered answered -> ofCopy(answered.content(), exchange);
            case Outcome.NotRun notRun -> ofRefusal(notRun, exchange);
            case Outcome.Unknown unknown -> ofUnknown(unknown, exchange);
        };
    }

    private FullHttpResponse ofCopy(AnswerContent content, EntryExchange exchange) {
        FullHttpResponse response =
                response(content.status(), Unpooled.wrappedBuffer(content.body().bytes()));
        for (Header header : content.headers()) {
            response.headers().add(header.name(), header.value());
        }
        response.headers().set(dialect.requestName(), exchange.requestName());
        boolean statesLength = exchange.isHead() && response.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
        if (!statesLength && !isBodyless(content.status())) {
            response.headers()
                    .set(HttpHeaderNames.CONTENT_LENGTH, content.body().length());
        }
        return response;
    }

    private static boolean isBodyless(int status) {
        return status == HttpResponseStatus.NO_CONTENT.code() || status == HttpResponseStatus.NOT_MODIFIED.code();
    }

    private FullHttpResponse ofRefusal(Outcome.NotRun notRun, EntryExchange exchange) {
        int status = switch (notRun.reason()) {
            case UNKNOWN_OPERATION -> NOT_FOUND;
            case BAD_REQUEST -> BAD_REQUEST;
            case KEY_MISSING, KEY_UNKNOWN -> UNAUTHORIZED;
            case OVER_ALLOWANCE -> TOO_MANY_REQUESTS;
            default -> UNAVAILABLE;
        };
        FullHttpResponse response = problem(
                new ProblemDocument(
                        status,
                        "not-run",
                        "The request was not run",
                        "It was refused and no upstream copy ran it",
                        notRun.step(),
                        notRun.peer(),
                        notRun.reason().labelValue()),
                exchange);
        if (status == UNAUTHORIZED) {
            response.headers().set(HttpHeaderNames.WWW_AUTHENTICATE, dialect.keyScheme());
        }
        if (status == UNAVAILABLE || status == TOO_MANY_REQUESTS) {
            response.headers().set(HttpHeaderNames.RETRY_AFTER, seconds(notRun.retryAfter()));
        }
        return response;
    }

    private String seconds(Duration duration) {
        double seconds = Math.max(1, duration.toMillis()) / MILLIS_PER_SECOND;
        return dialect.fractionalRetryAfter()
                ? String.format(Locale.ROOT, "%.3f", seconds)
                : Long.toString((long) Math.ceil(seconds));
    }

    private FullHttpResponse ofUnknown(Outcome.Unknown unknown, EntryExchange exchange) {
        int status = unknown.reason() == UnknownReason.DEADLINE ? GATEWAY_TIMEOUT : BAD_GATEWAY;
        return problem(
                new ProblemDocument(
                        status,
                        "unknown",
                        "The request may have run",
                        "It was handed to an upstream copy or may have been, and no complete answer came",
                        unknown.step(),
                        unknown.peer(),
                        unknown.reason().labelValue()),
                exchange);
    }

    FullHttpResponse ofBad(BadRequest kind, EntryExchange exchange) {
        FullHttpResponse response = problem(
                new ProblemDocument(
                        kind.status(),
                        "not-run",
                        "The request was not run",
                        "It is malformed or too large",
                        Step.INGRESS,
                        Optional.<NodeName>empty(),
                        kind.reason() == RefusalReason.BAD_REQUEST
                                ? Counters.labelValue(kind)
                                : kind.reason().labelValue()),
                exchange);
        if (kind.status() == UNAVAILABLE) {
            response.headers().set(HttpHeaderNames.RETRY_AFTER, seconds(MEMORY_RETRY_AFTER));
        }
        return response;
    }

    private FullHttpResponse problem(ProblemDocument document, EntryExchange exchange) {
        byte[] body = document.toBuffer().getBytes();
        FullHttpResponse response =
                response(document.status(), exchange.isHead() ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(body));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, ProblemDocument.MEDIA_TYPE);
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        if (!exchange.requestName().isEmpty()) {
            response.headers().set(dialect.requestName(), exchange.requestName());
        }
        return response;
    }

    private static FullHttpResponse response(int status, ByteBuf body) {
        return new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(status),
                body,
                DefaultHttpHeadersFactory.headersFactory().newHeaders(),
                EmptyHttpHeaders.INSTANCE);
    }
}
