package org.carawaysill.load.client;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import java.time.Duration;
import java.util.Optional;
import org.carawaysill.load.client.TryResult.Broken;
import org.carawaysill.load.client.TryResult.Failed;
import org.carawaysill.load.client.TryResult.NotRun;
import org.carawaysill.load.client.TryResult.Unknown;
import org.carawaysill.load.client.TryResult.Whole;

/** Converts an HTTP response to the result of a try. Stateless and thread safe. */
final class AnswerReader {

    private static final String OUTCOME = "Carawaysill-Outcome";
    private static final String RETRY_AFTER = "Carawaysill-Retry-After-Milliseconds";
    private static final int OK = 200;
    private static final int FIRST_ERROR = 300;

    private AnswerReader() {}

    static TryResult of(RequestIdentity identity, HttpClientResponse response, Buffer body) {
        return switch (Optional.ofNullable(response.getHeader(OUTCOME)).orElse("")) {
            case "not-run" -> new NotRun(reason(body), retryAfter(response));
            case "unknown" -> new Unknown(reason(body));
            default -> answered(identity, response.statusCode(), body);
        };
    }

    private static TryResult answered(RequestIdentity identity, int status, Buffer body) {
        if (status < OK || status >= FIRST_ERROR) {
            return new Failed(status);
        }
        return AnswerCheck.check(identity.traceIdentifier(), body)
                .<TryResult>map(Broken::new)
                .orElseGet(Whole::new);
    }

    private static String reason(Buffer body) {
        try {
            return new JsonObject(body).getString("reason", "unstated");
        } catch (DecodeException | ClassCastException e) {
            return "unreadable";
        }
    }

    private static Duration retryAfter(HttpClientResponse response) {
        try {
            return Duration.ofMillis(Long.parseLong(response.getHeader(RETRY_AFTER)));
        } catch (NumberFormatException e) {
            return Duration.ZERO;
        }
    }
}
