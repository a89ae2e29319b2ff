package org.carawaysill.node.exchange;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClosedException;
import java.util.concurrent.CompletableFuture;
import org.carawaysill.model.request.Body;
import org.carawaysill.node.observation.BadRequest;

/**
 * Collects the body of one request.
 *
 * <p>Invariants: never holds more than its limit; after a refusal it holds no data and has released its reservation.
 * Not thread safe: confined to the event loop.
 */
final class BodyCollector {

    /** The result of collecting a body. Immutable and thread safe. */
    sealed interface Collected {

        /**
         * The body is complete.
         *
         * @param body the body, whose length stays reserved in the budget
         */
        record Complete(Body body) implements Collected {}

        /**
         * The body is refused.
         *
         * @param kind the reason
         */
        record Refused(BadRequest kind) implements Collected {}

        /** The connection ended before the body was complete. */
        record Disconnected() implements Collected {}
    }

    private final int limit;

    private final BodyBudget budget;

    private final CompletableFuture<Collected> result = new CompletableFuture<>();

    private Buffer parts = Buffer.buffer();

    BodyCollector(int limit, BodyBudget budget) {
        this.limit = limit;
        this.budget = budget;
    }

    CompletableFuture<Collected> result() {
        return result;
    }

    void add(Buffer part) {
        if (result.isDone()) {
            return;
        }
        if (parts.length() + part.length() > limit) {
            refuse(new Collected.Refused(BadRequest.BODY_TOO_LARGE));
        } else if (!budget.reserve(part.length())) {
            refuse(new Collected.Refused(BadRequest.BODIES_FILL_MEMORY));
        } else {
            parts.appendBuffer(part);
        }
    }

    void end() {
        result.complete(new Collected.Complete(Body.wrap(parts.getBytes())));
        parts = Buffer.buffer();
    }

    void fail(Throwable failure) {
        boolean closed = failure instanceof HttpClosedException;
        refuse(closed ? new Collected.Disconnected() : new Collected.Refused(BadRequest.MALFORMED));
    }

    private void refuse(Collected refusal) {
        if (!result.isDone()) {
            budget.release(parts.length());
            parts = Buffer.buffer();
            result.complete(refusal);
        }
    }
}
