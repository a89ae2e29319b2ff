package org.carawaysill.node.exchange;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerResponse;
import java.time.Duration;
import java.util.Optional;
import org.carawaysill.model.request.AnswerContent;
import org.carawaysill.model.request.Header;
import org.carawaysill.model.request.Outcome;
import org.carawaysill.model.request.RefusalReason;
import org.carawaysill.model.request.Step;
import org.carawaysill.node.observation.BadRequest;

/**
 * Writes the outcome of a request as an HTTP answer.
 *
 * <p>Invariant: every answer states in a header field which of the three outcomes it is, and no such statement of
 * another node or of a copy is forwarded. Not thread safe: confined to the event loop.
 */
final class OutcomeWriter {

    private static final int BAD_REQUEST = 400;

    private static final int UNAVAILABLE = 503;

    private static final int GATEWAY_TIMEOUT = 504;

    private static final String ANSWERED = "answered";

    private static final String NOT_RUN = "not-run";

    private static final String UNKNOWN = "unknown";

    private OutcomeWriter() {}

    /**
     * Writes an outcome.
     *
     * @param response the response, not yet begun
     * @param outcome the outcome of the request
     * @return completes when the last byte was passed to the operating system
     */
    static Future<Void> write(HttpServerResponse response, Outcome outcome) {
        return switch (outcome) {
            case Outcome.Answered answered -> writeAnswer(response, answered.content());
            case Outcome.NotRun notRun -> writeNotRun(response, notRun);
            case Outcome.Unknown unknown -> writeUnknown(response, unknown);
        };
    }

    private static Future<Void> writeAnswer(HttpServerResponse response, AnswerContent content) {
        response.setStatusCode(content.status());
        for (Header header : content.headers()) {
            response.headers().add(header.name(), withoutControls(header.value()));
        }
        response.putHeader(CarawaysillHeaders.OUTCOME, ANSWERED);
        if (content.body().length() == 0) {
            return response.end();
        }
        return response.end(Buffer.buffer(content.body().bytes()));
    }

    /**
     * Replaces control characters, which the HTTP writer would reject, so that an invalid byte of a copy doesn't
     * discard its whole answer.
     */
    private static String withoutControls(String value) {
        return value.replaceAll("[\\p{Cntrl}&&[^\\t]]", " ");
    }

    private static Future<Void> writeNotRun(HttpServerResponse response, Outcome.NotRun notRun) {
        if (notRun.reason() != RefusalReason.BAD_REQUEST) {
            putRetryAfter(response, notRun.retryAfter());
        }
        return writeProblem(
                response,
                new ProblemDocument(
                        notRun.reason() == RefusalReason.BAD_REQUEST ? BAD_REQUEST : UNAVAILABLE,
                        NOT_RUN,
                        "The request was not run",
                        "It was refused and no upstream copy got it",
                        notRun.step(),
                        notRun.peer(),
                        notRun.reason().labelValue()));
    }

    private static Future<Void> writeUnknown(HttpServerResponse response, Outcome.Unknown unknown) {
        return writeProblem(
                response,
                new ProblemDocument(
                        GATEWAY_TIMEOUT,
                        UNKNOWN,
                        "The request may have run",
                        "It was handed to an upstream copy or may have been, and no complete answer came",
                        unknown.step(),
                        unknown.peer(),
                        unknown.reason().labelValue()));
    }

    /**
     * Writes the refusal of a request that was rejected before it became an event.
     *
     * @param response the response, not yet begun
     * @param kind what is wrong with the request
     * @param detail what is wrong, in one line
     * @return completes when the last byte was passed to the operating system
     */
    static Future<Void> writeBad(HttpServerResponse response, BadRequest kind, String detail) {
        if (kind.status() == UNAVAILABLE) {
            putRetryAfter(response, Duration.ofSeconds(1));
        }
        return writeProblem(
                response,
                new ProblemDocument(
                        kind.status(),
                        NOT_RUN,
                        "The request was not run",
                        detail,
                        Step.INGRESS,
                        Optional.empty(),
                        kind.reason().labelValue()));
    }

    private static void putRetryAfter(HttpServerResponse response, Duration retryAfter) {
        long seconds = Math.max(1, retryAfter.plusMillis(999).toSeconds());
        response.putHeader(HttpHeaders.RETRY_AFTER, Long.toString(seconds));
        response.putHeader(
                CarawaysillHeaders.RETRY_AFTER_MILLISECONDS, Long.toString(Math.max(1, retryAfter.toMillis())));
    }

    private static Future<Void> writeProblem(HttpServerResponse response, ProblemDocument problem) {
        response.setStatusCode(problem.status());
        response.putHeader(HttpHeaders.CONTENT_TYPE, ProblemDocument.MEDIA_TYPE);
        response.putHeader(CarawaysillHeaders.OUTCOME, problem.outcome());
        return response.end(problem.toBuffer());
    }
}
