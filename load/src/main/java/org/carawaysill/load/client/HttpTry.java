package org.carawaysill.load.client;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.time.Duration;
import java.util.Optional;
import org.carawaysill.load.client.TryResult.ConnectionLost;
import org.carawaysill.load.client.TryResult.TimedOut;
import org.carawaysill.load.site.LoadOperation;
import org.carawaysill.load.site.Site;

/**
 * A single try of a request at one node.
 *
 * <p>Invariant: a try has exactly one result. Not thread safe: used on one event loop.
 */
final class HttpTry {

    private final Promise<TryResult> result = Promise.promise();
    private final RequestIdentity identity;
    private Optional<HttpClientRequest> sent = Optional.empty();

    private HttpTry(RequestIdentity identity) {
        this.identity = identity;
    }

    static Future<TryResult> send(
            Vertx vertx,
            HttpClient client,
            int port,
            LoadOperation operation,
            RequestIdentity identity,
            Duration timeout) {
        HttpTry attempt = new HttpTry(identity);
        long timer = vertx.setTimer(timeout.toMillis(), ignored -> attempt.timeOut());
        client.request(options(port, operation, identity)).onComplete(attempt::write, attempt::connectionLost);
        return attempt.result.future().onComplete(ignored -> vertx.cancelTimer(timer));
    }

    private static RequestOptions options(int port, LoadOperation operation, RequestIdentity identity) {
        return new RequestOptions()
                .setMethod(HttpMethod.valueOf(operation.method()))
                .setHost(Site.HOST)
                .setPort(port)
                .setURI(operation.pathFor(identity.spanIdentifier()))
                .putHeader("Idempotency-Key", identity.idempotencyKey())
                .putHeader("Carawaysill-Caller", operation.caller().value())
                .putHeader("traceparent", identity.traceParent());
    }

    private void write(HttpClientRequest request) {
        request.exceptionHandler(this::connectionLost);
        if (result.future().isComplete()) {
            request.reset();
            return;
        }
        sent = Optional.of(request);
        request.send().onComplete(this::read, this::connectionLost);
    }

    private void read(HttpClientResponse response) {
        response.body().onComplete(body -> finish(response, body), this::connectionLost);
    }

    private void finish(HttpClientResponse response, Buffer body) {
        result.tryComplete(AnswerReader.of(identity, response, body));
    }

    private void connectionLost(Throwable cause) {
        result.tryComplete(new ConnectionLost());
    }

    // Closes the connection, so that a late answer can't be taken for the answer to another request.
    private void timeOut() {
        if (result.tryComplete(new TimedOut())) {
            sent.ifPresent(HttpClientRequest::reset);
        }
    }
}
