package org.carawaysill.node.copy;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpHeaders;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.carawaysill.model.request.AnswerContent;
import org.carawaysill.model.request.Body;
import org.carawaysill.node.exchange.CarawaysillHeaders;
import org.carawaysill.node.exchange.HeaderHygiene;
import org.carawaysill.policy.effect.Effect;

/**
 * Reads one answer of the local copy whole.
 *
 * <p>Invariant: an answer counts as complete only if its length or its end mark says so. Confined to the event loop.
 */
final class AnswerReader {

    private static final int FIRST_FINAL_STATUS = 200;

    private static final int NO_CONTENT = 204;

    private static final int NOT_MODIFIED = 304;

    private static final String HEAD = "HEAD";

    private final Effect.HandToCopy effect;

    private final int maximumBodyBytes;

    private final CompletableFuture<Optional<AnswerContent>> result = new CompletableFuture<>();

    private final Buffer parts = Buffer.buffer();

    AnswerReader(Effect.HandToCopy effect, int maximumBodyBytes) {
        this.effect = effect;
        this.maximumBodyBytes = maximumBodyBytes;
    }

    /** Tells whether the answer names no other attempt than the one asked; copies need not name any. */
    boolean isOwn(HttpClientResponse response) {
        String echoed = response.getHeader(CarawaysillHeaders.ATTEMPT);
        return echoed == null || echoed.equalsIgnoreCase(effect.attempt().toString());
    }

    /**
     * Reads the answer.
     *
     * @param response the answer, of which nothing but the head was read yet
     * @return completes on the event loop with the whole answer, or empty where it is not complete or too large
     */
    CompletableFuture<Optional<AnswerContent>> read(HttpClientResponse response) {
        if (response.statusCode() < FIRST_FINAL_STATUS || !hasEndMark(response)) {
            result.complete(Optional.empty());
            return result;
        }
        response.handler(this::add);
        response.endHandler(ignored -> result.complete(Optional.of(content(response))));
        response.exceptionHandler(ignored -> result.complete(Optional.empty()));
        return result;
    }

    /**
     * Guards against a short success: an answer without a length ends where its connection ends, and a copy that dies in
     * the middle of it looks the same.
     */
    private boolean hasEndMark(HttpClientResponse response) {
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
                HeaderHygiene.ofAnswer(response.headers(), isBodyless(response)),
                Body.wrap(parts.getBytes()));
    }
}
