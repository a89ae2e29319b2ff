package org.carawaysill.node.exchange;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClosedException;
import java.util.concurrent.CompletableFuture;
import org.carawaysill.model.request.Body;
import org.carawaysill.node.observation.BadRequest;

/**
 * Collects the body of one request.
 *
 * <p>Invariants: never holds more than its limit; holds nothing once it has refused, and has then given back what it
 * took. Confined to the event loop.
 */
final class BodyCollector {

    /** What collecting came to. Immutable and thread safe. */
    sealed interface Collected {

        /**
         * The body is whole.
         *
         * @param body the body, of which the length stays taken from the budget
         */
        record Whole(Body body) implements Collected {}

        /**
         * The body is refused.
         *
         * @param kind why
         */
        record Refused(BadRequest kind) implements Collected {}

        /** The connection ended before the body did. */
        record Gone() implements Collected {}
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
        } else if (!budget.take(part.length())) {
            refuse(new Collected.Refused(BadRequest.BODIES_FILL_MEMORY));
        } else {
            parts.appendBuffer(part);
        }
    }

    void end() {
        result.complete(new Collected.Whole(Body.wrap(parts.getBytes())));
        parts = Buffer.buffer();
    }

    void fail(Throwable failure) {
        boolean closed = failure instanceof HttpClosedException;
        refuse(closed ? new Collected.Gone() : new Collected.Refused(BadRequest.MALFORMED));
    }

    private void refuse(Collected refusal) {
        if (!result.isDone()) {
            budget.giveBack(parts.length());
            parts = Buffer.buffer();
            result.complete(refusal);
        }
    }
}
