package org.carawaysill.standin.upstream;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.net.SocketAddress;
import java.util.concurrent.TimeUnit;

/**
 * Calls deeper services through the egress port of the copy's own node.
 *
 * <p>Uses the core HTTP client of Vert.x, since the client of Vert.x Web can't cancel a request. Invariant: there is a
 * connection for each slot, so that a call never waits for one. Not thread safe: used on the event loop only.
 */
final class EgressClient {

    private static final int SPARE_CONNECTIONS = 16;
    private static final long MAXIMUM_CALL_MILLISECONDS = 30_000;

    private final HttpClient client;
    private final SocketAddress egress;

    EgressClient(Vertx vertx, SocketAddress egress, int slots) {
        this.egress = egress;
        HttpClientOptions options = new HttpClientOptions().setKeepAliveTimeout(0);
        PoolOptions pool = new PoolOptions().setHttp1MaxSize(slots + SPARE_CONNECTIONS);
        this.client = vertx.createHttpClient(options, pool);
    }

    /**
     * Calls a deeper service.
     *
     * @param call the call to make
     * @param request the request that makes the call
     * @param running the handle by which the call can be cancelled
     * @param nowNanos the monotonic time
     * @return the answer's body, or a {@link DeeperCallException}
     */
    Future<Buffer> call(GraphCall call, CopyRequest request, DeeperCall running, long nowNanos) {
        String path = call.egressPath(request.match().segments(), request.traceText());
        RequestOptions options = new RequestOptions()
                .setHost(egress.host())
                .setPort(egress.port())
                .setMethod(HttpMethod.valueOf(call.method()))
                .setURI(path)
                .setTimeout(timeoutMilliseconds(request, nowNanos));
        return running.send(client.request(options).map(out -> withHeaders(out, request)));
    }

    private static HttpClientRequest withHeaders(HttpClientRequest out, CopyRequest request) {
        request.traceparent().ifPresent(value -> out.putHeader(CopyRequest.TRACE_PARENT, value));
        request.attempt().ifPresent(value -> out.putHeader(CopyRequest.ATTEMPT, value));
        return out;
    }

    private static long timeoutMilliseconds(CopyRequest request, long nowNanos) {
        if (request.deadlineNanos().isEmpty()) {
            return MAXIMUM_CALL_MILLISECONDS;
        }
        long remaining = TimeUnit.NANOSECONDS.toMillis(request.deadlineNanos().getAsLong() - nowNanos);
        return Math.clamp(remaining, 1, MAXIMUM_CALL_MILLISECONDS);
    }
}
