package org.carawaysill.standin.upstream;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import java.util.Optional;

/**
 * A call to a deeper service through the node's egress port.
 *
 * <p>Invariant: {@link #cancel} prevents a call that is not yet sent, and closes the connection of one that is. Not
 * thread safe: used on the event loop only.
 */
final class DeeperCall {

    static final String OUTCOME = "Carawaysill-Outcome";
    private static final int OK = 200;

    private final String service;
    private Optional<HttpClientRequest> sent = Optional.empty();
    private boolean cancelled;

    DeeperCall(String service) {
        this.service = service;
    }

    /**
     * Sends the call once its connection is established.
     *
     * @param connected the HTTP request on its connection
     * @return the answer's body, or a {@link DeeperCallException}
     */
    Future<Buffer> send(Future<HttpClientRequest> connected) {
        return connected
                .compose(this::sendUnlessCancelled)
                .compose(response -> response.body().compose(body -> check(response, body)))
                .recover(this::asDeeperCallFailure);
    }

    /** Cancels the call. */
    void cancel() {
        cancelled = true;
        sent.ifPresent(HttpClientRequest::reset);
    }

    private Future<HttpClientResponse> sendUnlessCancelled(HttpClientRequest request) {
        if (cancelled) {
            request.reset();
            return Future.failedFuture(failure("cancelled", Optional.empty()));
        }
        sent = Optional.of(request);
        return request.send();
    }

    private Future<Buffer> check(HttpClientResponse response, Buffer body) {
        if (response.statusCode() == OK) {
            return Future.succeededFuture(body);
        }
        return Future.failedFuture(
                failure("status " + response.statusCode(), Optional.ofNullable(response.getHeader(OUTCOME))));
    }

    private Future<Buffer> asDeeperCallFailure(Throwable failure) {
        return Future.failedFuture(
                failure instanceof DeeperCallException known
                        ? known
                        : failure(String.valueOf(failure.getMessage()), Optional.empty()));
    }

    private DeeperCallException failure(String reason, Optional<String> outcome) {
        return new DeeperCallException(service, reason, outcome);
    }
}
