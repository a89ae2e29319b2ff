package org.carawaysill.node.entry;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.carawaysill.model.fleet.ClientLimits;
import org.carawaysill.model.request.Body;
import org.carawaysill.model.request.Credential;
import org.carawaysill.model.request.Header;
import org.carawaysill.model.request.RequestContent;
import org.carawaysill.node.exchange.HeaderHygiene;
import org.carawaysill.node.exchange.RequestTarget;
import org.carawaysill.node.observation.BadRequest;
import org.jspecify.annotations.Nullable;

/**
 * The head of a client's request.
 *
 * <p>Immutable and thread safe.
 *
 * @param method the method
 * @param target path and query, or a whole address
 * @param host the host named by the request
 * @param requestName the client's own name for the request; empty where it gave none
 * @param patience how long the client waits, if it says so
 * @param statedLength the body's length if it is stated, else 0
 * @param keepsAlive whether the client may send more on the connection
 * @param framing whether the body ends where every reader of it must see the end
 * @param credential what shows its organisation
 * @param headers the fields that pass
 */
record RequestHead(
        String method,
        String target,
        String host,
        String requestName,
        Optional<Duration> patience,
        int statedLength,
        boolean keepsAlive,
        boolean framing,
        Credential credential,
        List<Header> headers) {

    private static final String CHUNKED = "chunked";

    /** A length beyond this is more than any body that a node takes whole. */
    private static final int LONGEST_STATED = Integer.MAX_VALUE;

    private static final long LONGEST_PATIENCE_MILLIS = Duration.ofHours(1).toMillis();

    static RequestHead of(HttpRequest request, WireDialect dialect) {
        String host = request.headers().get(HttpHeaderNames.HOST, "");
        return new RequestHead(
                request.method().name(),
                request.uri(),
                host,
                request.headers().get(dialect.requestName(), ""),
                patience(request.headers().get(dialect.patience())),
                (int) Math.min(LONGEST_STATED, Math.max(0, HttpUtil.getContentLength(request, 0L))),
                HttpUtil.isKeepAlive(request),
                isFramedOnce(request),
                Credentials.of(request.headers(), dialect.keyScheme()),
                passing(request, host, dialect));
    }

    private static Optional<Duration> patience(@Nullable String text) {
        if (text == null) {
            return Optional.empty();
        }
        try {
            double millis = Double.parseDouble(text.strip());
            if (!(millis >= 0)) {
                return Optional.empty();
            }
            return Optional.of(Duration.ofNanos((long) (Math.min(millis, LONGEST_PATIENCE_MILLIS) * 1_000_000)));
        } catch (NumberFormatException unreadable) {
            return Optional.empty();
        }
    }

    /**
     * Guards against a body that this node and another reader in the path would end at different places, which shows as a
     * second request smuggled into the first: a length and chunks together, two lengths, or another coding than chunks.
     */
    private static boolean isFramedOnce(HttpRequest request) {
        List<String> codings = request.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        List<String> lengths = request.headers().getAll(HttpHeaderNames.CONTENT_LENGTH);
        if (codings.isEmpty()) {
            return lengths.size() <= 1;
        }
        return lengths.isEmpty()
                && codings.size() == 1
                && codings.getFirst().strip().equalsIgnoreCase(CHUNKED)
                && request.protocolVersion().equals(HttpVersion.HTTP_1_1);
    }

    private static List<Header> passing(HttpRequest request, String host, WireDialect dialect) {
        List<Header> headers = new ArrayList<>();
        headers.add(new Header("Host", host));
        for (Header header : HeaderHygiene.ofRequest(request.headers().entries())) {
            if (!isOwn(header.name(), dialect)) {
                headers.add(header);
            }
        }
        return headers;
    }

    /**
     * The fields that are written anew for the copy, and the one that may hold a key. A name with underscores counts too:
     * some programs take them for hyphens. The request's name travels beside its content, and a second time in it
     * would be a tenth of the bytes of a call three levels deep, whose name is 67 characters long.
     */
    private static boolean isOwn(String name, WireDialect dialect) {
        return name.equalsIgnoreCase(dialect.requestName())
                || name.equalsIgnoreCase(dialect.patience())
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
        if (host.isEmpty() || !path().startsWith("/") || requestName.isEmpty()) {
            return Optional.of(BadRequest.MALFORMED);
        }
        return statedLength > limits.bodyBytes() ? Optional.of(BadRequest.BODY_TOO_LARGE) : Optional.empty();
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
