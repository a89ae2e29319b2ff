package org.carawaysill.standin.upstream;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * One operation of the copy's service.
 *
 * <p>Immutable and thread safe.
 *
 * @param name the operation's name
 * @param method the HTTP method
 * @param path the path, in which a segment {@code *} matches one segment
 * @param idempotent whether it may safely run more than once
 * @param serviceMilliseconds the mean service time of its own work per request
 * @param answerBytes the minimum length of its answers
 * @param calls the calls that it makes after its own work, one after the other
 */
record GraphOperation(
        @JsonProperty(required = true) String name,
        @JsonProperty(required = true) String method,
        @JsonProperty(required = true) PathPattern path,
        @JsonProperty(required = true) boolean idempotent,
        @JsonProperty(required = true) double serviceMilliseconds,
        int answerBytes,
        @Nullable List<GraphCall> calls) {

    GraphOperation {
        if (serviceMilliseconds < 0) {
            throw new IllegalArgumentException("service-milliseconds must be at least 0");
        }
        calls = calls == null ? List.of() : List.copyOf(calls);
    }

    GraphOperation withServiceMilliseconds(double milliseconds) {
        return new GraphOperation(name, method, path, idempotent, milliseconds, answerBytes, calls);
    }
}
