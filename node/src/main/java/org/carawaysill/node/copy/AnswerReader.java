package org.carawaysill.node.copy;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpHeaders;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.carawaysill.model.request.AnswerContent;
import org.carawaysill.model.request.Body;
import org.carawaysill.model.request.ContentRules;
import org.carawaysill.node.exchange.CarawaysillHeaders;
import org.carawaysill.node.exchange.HeaderFilter;
import org.carawaysill.policy.effect.Effect;

/**
 * Reads one complete answer of the local copy.
 *
 * <p>Invariant: an answer is regarded as complete only if its length or its last chunk shows it. Not thread safe:
 * confined to the event loop.
 */
final class AnswerReader {

    private static final int NO_CONTENT = 204;

    private static final int NOT_MODIFIED = 304;

    private static final String HEAD = "HEAD";

    private final Effect.SendToCopy effect;

    private final int maximumBodyBytes;

    private final CompletableFuture<Optional<AnswerContent>> result = new CompletableFuture<>();

    private final Buffer parts = Buffer.buffer();

    AnswerReader(Effect.SendToCopy effect, int maximumBodyBytes) {
        this.effect = effect;
        this.maximumBodyBytes = maximumBodyBytes;
    }

    /** Returns whether the answer names the requested attempt or none; copies need not name any. */
    boolean isOwn(HttpClientResponse response) {
        String echoed = response.getHeader(CarawaysillHeaders.ATTEMPT);
        return echoed == null || echoed.equalsIgnoreCase(effect.attempt().toString());
    }

    /**
     * Reads the answer.
     *
     * @param response the answer, of which only the head has been read yet
     * @return completes on the event loop with the complete answer, or empty if it is incomplete or too large
     */
    CompletableFuture<Optional<AnswerContent>> read(HttpClientResponse response) {
        if (!ContentRules.isFinalStatus(response.statusCode()) || !isEndDetectable(response)) {
            result.complete(Optional.empty());
            return result;
        }
        response.handler(this::add);
        response.endHandler(ignored -> result.complete(Optional.of(content(response))));
        response.exceptionHandler(ignored -> result.complete(Optional.empty()));
        return result;
    }

    /**
     * Guards against a truncated success: an answer without a length ends with its connection, which looks the same if
     * the copy dies in the middle of it.
     */
    private boolean isEndDetectable(HttpClientResponse response) {
        return isBodyless(response)
                || response.headers().contains(HttpHeaders.CONTENT_LENGTH)
                || response.headers().contains(HttpHeaders.TRANSFER_ENCODING, HttpHeaders.CHUNKED, true);
    }

    private boolean isBodyless(HttpClientResponse response) {
        int status = response.statusCode();
        return status == NO_CONTENT
                || status == NOT_MODIFIED
                || effect.content().method().equals(HEAD);
    }

    private void add(Buffer part) {
        if (parts.length() + part.length() > maximumBodyBytes) {
            result.complete(Optional.empty());
        } else {
            parts.appendBuffer(part);
        }
    }

    private AnswerContent content(HttpClientResponse response) {
        return new AnswerContent(
                response.statusCode(),
                HeaderFilter.ofAnswer(response.headers(), isBodyless(response)),
                Body.wrap(parts.getBytes()));
    }
}
