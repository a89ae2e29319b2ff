package org.carawaysill.node.entry;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.carawaysill.model.fleet.ClientLimits;
import org.carawaysill.model.request.Body;
import org.carawaysill.model.request.ContentRules;
import org.carawaysill.model.request.Credential;
import org.carawaysill.model.request.Header;
import org.carawaysill.model.request.HeaderFields;
import org.carawaysill.model.request.RequestContent;
import org.carawaysill.node.exchange.HeaderFilter;
import org.carawaysill.node.exchange.MessageFraming;
import org.carawaysill.node.exchange.RequestTarget;
import org.carawaysill.node.observation.BadRequest;
import org.jspecify.annotations.Nullable;

/**
 * The head of a client's request.
 *
 * <p>Immutable and thread safe.
 *
 * @param method the method
 * @param target the path and query, or an absolute URI
 * @param host the value of the Host field
 * @param requestName the client's own name for the request; empty if it gave none
 * @param clientTimeout how long the client waits for the answer, if stated
 * @param statedLength the value of Content-Length, or 0 if there is none
 * @param keepsAlive whether the client may send further requests on the connection
 * @param whole whether the request ends with its head
 * @param framing whether the end of the body is unambiguous for all readers
 * @param credential identifies the client's organisation
 * @param headers the header fields that are passed on
 */
record RequestHead(
        String method,
        String target,
        String host,
        String requestName,
        Optional<Duration> clientTimeout,
        int statedLength,
        boolean keepsAlive,
        boolean whole,
        boolean framing,
        Credential credential,
        List<Header> headers) {

    /** Larger than any body that a node accepts. */
    private static final int MAXIMUM_STATED_LENGTH = Integer.MAX_VALUE;

    private static final long MAXIMUM_CLIENT_TIMEOUT_MILLIS =
            Duration.ofHours(1).toMillis();

    RequestHead {
        headers = HeaderFields.copyOf(headers);
    }

    static RequestHead of(HttpRequest request, WireDialect dialect) {
        String host = request.headers().get(HttpHeaderNames.HOST, "");
        return new RequestHead(
                request.method().name(),
                request.uri(),
                host,
                request.headers().get(dialect.requestName(), ""),
                clientTimeout(request.headers().get(dialect.clientTimeout())),
                (int) Math.min(MAXIMUM_STATED_LENGTH, Math.max(0, HttpUtil.getContentLength(request, 0L))),
                HttpUtil.isKeepAlive(request),
                !HttpUtil.isTransferEncodingChunked(request) && HttpUtil.getContentLength(request, 0L) == 0,
                MessageFraming.isUnambiguous(request),
                Credentials.of(request.headers(), dialect.keyScheme()),
                forwardedHeaders(request, host, dialect));
    }

    private static Optional<Duration> clientTimeout(@Nullable String text) {
        if (text == null) {
            return Optional.empty();
        }
        try {
            double millis = Double.parseDouble(text.strip());
            if (!(millis >= 0)) {
                return Optional.empty();
            }
            return Optional.of(Duration.ofNanos((long) (Math.min(millis, MAXIMUM_CLIENT_TIMEOUT_MILLIS) * 1_000_000)));
        } catch (NumberFormatException unreadable) {
            return Optional.empty();
        }
    }

    private static List<Header> forwardedHeaders(HttpRequest request, String host, WireDialect dialect) {
        List<Header> headers = new ArrayList<>();
        headers.add(new Header("Host", host));
        for (Header header : HeaderFilter.ofRequest(request.headers().entries())) {
            if (!isWithheld(header.name(), dialect)) {
                headers.add(header);
            }
        }
        return headers;
    }

    /**
     * Returns whether a field is set anew by the node for the copy, or may hold a key. A name with underscores counts
     * as well, because some programs treat underscores as hyphens. The request's name is sent beside its content;
     * sending it twice would add a tenth to the bytes of a call three levels deep, whose name is 67 characters long.
     */
    private static boolean isWithheld(String name, WireDialect dialect) {
        return name.equalsIgnoreCase(dialect.requestName())
                || name.equalsIgnoreCase(dialect.clientTimeout())
                || name.equalsIgnoreCase(dialect.copy())
                || name.equalsIgnoreCase(dialect.callerService())
                || name.equalsIgnoreCase(HttpHeaderNames.AUTHORIZATION.toString())
                || name.replace('_', '-').equalsIgnoreCase(dialect.organisation());
    }

    /** Returns what is wrong with the request, if anything. */
    Optional<BadRequest> fault(ClientLimits limits) {
        if (!framing) {
            return Optional.of(BadRequest.FRAMING);
        }
        boolean validPath = path().startsWith("/") && ContentRules.isWithoutWhiteSpace(path());
        if (host.isEmpty() || !validPath || requestName.isEmpty()) {
            return Optional.of(BadRequest.MALFORMED);
        }
        return statedLength > limits.bodyBytes() ? Optional.of(BadRequest.BODY_TOO_LARGE) : Optional.empty();
    }

    /** Returns about how much memory the head takes. */
    long byteCount() {
        return (long) method.length()
                + target.length()
                + host.length()
                + requestName.length()
                + HeaderFields.copyOf(headers).byteCount()
                + HeaderFields.copyOf(credential.fields()).byteCount();
    }

    boolean isHead() {
        return method.equals(HttpMethod.HEAD.name());
    }

    private String path() {
        return RequestTarget.originForm(target);
    }

    RequestContent content(Body body) {
        return new RequestContent(method, path(), headers, body);
    }
}
