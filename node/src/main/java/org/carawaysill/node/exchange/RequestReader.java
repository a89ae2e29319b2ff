package org.carawaysill.node.exchange;

import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerRequest;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.carawaysill.model.request.RequestContent;
import org.carawaysill.node.observation.BadRequest;

/**
 * Reads complete requests, within limits.
 *
 * <p>Invariant: holds at most the limit of each request in memory, and no data of a refused one. Not thread safe:
 * confined to the event loop.
 */
final class RequestReader {

    private static final List<String> SINGLE_FIELDS = List.of(
            CarawaysillHeaders.IDEMPOTENCY_KEY, CarawaysillHeaders.CALLER, CarawaysillHeaders.ATTEMPT, "traceparent");

    private static final String CHUNKED = "chunked";

    private final int maximumBodyBytes;

    private final BodyBudget budget;

    RequestReader(int maximumBodyBytes, BodyBudget budget) {
        this.maximumBodyBytes = maximumBodyBytes;
        this.budget = budget;
    }

    /**
     * Reads a request. The bytes of a complete request are reserved in the budget, and the receiver must release them.
     *
     * @param request the request, none of which has been read yet
     * @return completes on the event loop, never exceptionally
     */
    CompletableFuture<ReadResult> read(HttpServerRequest request) {
        Optional<ReadResult.Bad> bad = checkHead(request);
        if (bad.isPresent()) {
            return CompletableFuture.completedFuture(bad.get());
        }
        BodyCollector collector = new BodyCollector(maximumBodyBytes, budget);
        request.handler(collector::add);
        request.endHandler(ignored -> collector.end());
        request.exceptionHandler(collector::fail);
        return collector.result().thenApply(body -> switch (body) {
            case BodyCollector.Collected.Complete complete ->
                new ReadResult.Complete(new RequestContent(
                        request.method().name(),
                        RequestTarget.originForm(request.uri()),
                        HeaderFilter.ofRequest(request.headers()),
                        complete.body()));
            case BodyCollector.Collected.Refused refused -> new ReadResult.Bad(refused.kind(), "the body is refused");
            case BodyCollector.Collected.Disconnected ignored -> new ReadResult.Disconnected();
        });
    }

    private Optional<ReadResult.Bad> checkHead(HttpServerRequest request) {
        if (!RequestTarget.originForm(request.uri()).startsWith("/")) {
            return bad(BadRequest.MALFORMED, "the request target is not a path");
        }
        Optional<String> ambiguous = SINGLE_FIELDS.stream()
                .filter(name -> request.headers().getAll(name).size() > 1)
                .findFirst();
        if (ambiguous.isPresent()) {
            return bad(BadRequest.AMBIGUOUS_HEADER, ambiguous.get() + " came more than once");
        }
        return checkFraming(request);
    }

    private Optional<ReadResult.Bad> checkFraming(HttpServerRequest request) {
        List<String> encodings = request.headers().getAll(HttpHeaders.TRANSFER_ENCODING);
        // Guards against request smuggling, where this node and another one on the path see the end of the body at
        // different places. Only the plain chunked coding is accepted.
        if (!encodings.isEmpty()
                && !(encodings.size() == 1 && encodings.getFirst().equalsIgnoreCase(CHUNKED))) {
            return bad(BadRequest.FRAMING, "only the chunked transfer encoding is taken");
        }
        if (statedLength(request) > maximumBodyBytes) {
            return bad(BadRequest.BODY_TOO_LARGE, "the body is larger than " + maximumBodyBytes + " bytes");
        }
        return Optional.empty();
    }

    private static Optional<ReadResult.Bad> bad(BadRequest kind, String detail) {
        return Optional.of(new ReadResult.Bad(kind, detail));
    }

    private static long statedLength(HttpServerRequest request) {
        String length = request.getHeader(HttpHeaders.CONTENT_LENGTH);
        return length == null ? 0 : Long.parseLong(length);
    }
}
